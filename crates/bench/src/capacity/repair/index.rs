use {
    super::side::Side,
    serde::{Deserialize, Serialize},
    whinlatch_wire::record::RecordEnvelope,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// One record as sides tell each other what they hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held(
    /// Hash of the key.
    pub u64,
    /// The revision.
    pub u64,
);

/// What a side holds, in order of the keys' hashes.
#[derive(Debug)]
pub struct Index {
    items: Vec<Item>,
    by_hash: Vec<usize>,
}

#[derive(Debug)]
struct Item {
    record: RecordEnvelope,
    key_hash: u64,
    digest: u64,
}

impl Index {
    /// Indexes what a side holds.
    pub fn of(side: &Side) -> Self {
        let items: Vec<Item> = side.records().map(Item::of).collect();
        let mut by_hash: Vec<usize> = (0..items.len()).collect();
        by_hash.sort_unstable_by_key(|at| items[*at].key_hash);
        Self { items, by_hash }
    }

    /// Records by the hashes of their keys.
    pub fn records_of(&self, key_hashes: &[u64]) -> Vec<RecordEnvelope> {
        let found = key_hashes.iter().filter_map(|hash| self.find(*hash));
        found.cloned().collect()
    }

    fn find(&self, key_hash: u64) -> Option<&RecordEnvelope> {
        let at = self
            .by_hash
            .binary_search_by_key(&key_hash, |at| self.items[*at].key_hash)
            .ok()?;
        Some(&self.items[self.by_hash[at]].record)
    }

    /// Digests of `count` buckets; a key's bucket follows from its hash.
    pub fn bucket_digests(&self, count: usize) -> Vec<u64> {
        let mut digests = vec![0; count];
        for item in &self.items {
            digests[bucket_of(item.key_hash, count)] ^= item.digest;
        }
        digests
    }

    /// The records of a bucket.
    pub fn bucket(&self, bucket: usize, count: usize) -> impl Iterator<Item = &RecordEnvelope> {
        self.bucket_items(bucket, count).map(|item| &item.record)
    }

    /// What is held in a bucket.
    pub fn bucket_held(&self, bucket: usize, count: usize) -> Vec<Held> {
        self.bucket_items(bucket, count).map(Item::held).collect()
    }

    fn bucket_items(&self, bucket: usize, count: usize) -> impl Iterator<Item = &Item> {
        let start = |bucket| {
            self.by_hash
                .partition_point(|at| bucket_of(self.items[*at].key_hash, count) < bucket)
        };
        let positions = &self.by_hash[start(bucket)..start(bucket + 1)];
        positions.iter().map(|at| &self.items[*at])
    }
}

impl Item {
    fn of(record: &RecordEnvelope) -> Self {
        let key = record.key.as_str().as_bytes();
        Self {
            record: record.clone(),
            key_hash: xxh3_64(key),
            digest: xxh3_64_with_seed(key, record.revision.0),
        }
    }

    fn held(&self) -> Held {
        Held(self.key_hash, self.record.revision.0)
    }
}

/// What a side sends and wants when it learns what the other holds of the same keys.
#[derive(Debug, Default)]
pub struct Difference {
    /// Records that the other lacks.
    pub send: Vec<RecordEnvelope>,
    /// Hashes of keys that the other holds in a newer revision, or alone.
    pub want: Vec<u64>,
}

impl Difference {
    /// Compares own records with what the other holds.
    pub fn between<'a>(own: impl Iterator<Item = &'a RecordEnvelope>, theirs: &[Held]) -> Self {
        let mut difference = Self::default();
        let mut theirs: Vec<Held> = theirs.to_vec();
        theirs.sort_unstable_by_key(|held| held.0);
        let mut seen = vec![false; theirs.len()];
        for record in own {
            let hash = xxh3_64(record.key.as_str().as_bytes());
            let Ok(at) = theirs.binary_search_by_key(&hash, |held| held.0) else {
                difference.send.push(record.clone());
                continue;
            };
            seen[at] = true;
            if record.revision.0 > theirs[at].1 {
                difference.send.push(record.clone());
            } else if record.revision.0 < theirs[at].1 {
                difference.want.push(hash);
            }
        }
        let unseen = theirs.iter().zip(seen).filter(|(_, seen)| !seen);
        difference.want.extend(unseen.map(|(held, _)| held.0));
        difference
    }

    /// Adds another difference.
    pub fn add(&mut self, other: Self) {
        self.send.extend(other.send);
        self.want.extend(other.want);
    }
}

fn bucket_of(key_hash: u64, count: usize) -> usize {
    ((u128::from(key_hash) * count as u128) >> 64) as usize
}
