use {
    super::replica::Replica,
    serde::{Deserialize, Serialize},
    whinlatch_wire::record::RecordEnvelope,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Hash of a key and revision of its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRevision(
    /// Hash of the record's key.
    pub u64,
    /// Revision of the record.
    pub u64,
);

/// Index of a replica's records by key hash, with their digests.
#[derive(Debug)]
pub struct Index {
    items: Vec<Item>,
    /// Indexes of `items` in order of the key hashes.
    by_hash: Vec<usize>,
}

#[derive(Debug)]
struct Item {
    record: RecordEnvelope,
    key_hash: u64,
    digest: u64,
}

impl Index {
    /// Indexes the records of a replica.
    pub fn new(replica: &Replica) -> Self {
        let items: Vec<Item> = replica.records().map(Item::new).collect();
        let mut by_hash: Vec<usize> = (0..items.len()).collect();
        by_hash.sort_unstable_by_key(|index| items[*index].key_hash);
        Self { items, by_hash }
    }

    /// Returns the records whose keys have these hashes.
    pub fn records_by_hash(&self, key_hashes: &[u64]) -> Vec<RecordEnvelope> {
        let found = key_hashes.iter().filter_map(|hash| self.find(*hash));
        found.cloned().collect()
    }

    fn find(&self, key_hash: u64) -> Option<&RecordEnvelope> {
        let position = self
            .by_hash
            .binary_search_by_key(&key_hash, |index| self.items[*index].key_hash)
            .ok()?;
        Some(&self.items[self.by_hash[position]].record)
    }

    /// Returns the digests of `count` buckets. The hash of a key decides its bucket.
    pub fn bucket_digests(&self, count: usize) -> Vec<u64> {
        let mut digests = vec![0; count];
        for item in &self.items {
            digests[bucket_of(item.key_hash, count)] ^= item.digest;
        }
        digests
    }

    /// Returns the records in a bucket.
    pub fn bucket(&self, bucket: usize, count: usize) -> impl Iterator<Item = &RecordEnvelope> {
        self.bucket_items(bucket, count).map(|item| &item.record)
    }

    /// Returns the key hashes and revisions in a bucket.
    pub fn bucket_listing(&self, bucket: usize, count: usize) -> Vec<KeyRevision> {
        self.bucket_items(bucket, count)
            .map(Item::key_revision)
            .collect()
    }

    fn bucket_items(&self, bucket: usize, count: usize) -> impl Iterator<Item = &Item> {
        let start = |bucket| {
            self.by_hash
                .partition_point(|index| bucket_of(self.items[*index].key_hash, count) < bucket)
        };
        let positions = &self.by_hash[start(bucket)..start(bucket + 1)];
        positions.iter().map(|index| &self.items[*index])
    }
}

impl Item {
    fn new(record: &RecordEnvelope) -> Self {
        let key = record.key.as_str().as_bytes();
        Self {
            record: record.clone(),
            key_hash: xxh3_64(key),
            digest: xxh3_64_with_seed(key, record.revision.0),
        }
    }

    fn key_revision(&self) -> KeyRevision {
        KeyRevision(self.key_hash, self.record.revision.0)
    }
}

/// Difference between a replica's records and the listing of another.
#[derive(Debug, Default)]
pub struct Difference {
    /// Records that the other lacks or has in an older revision.
    pub send: Vec<RecordEnvelope>,
    /// Hashes of the keys that this replica lacks or has in an older revision.
    pub missing: Vec<u64>,
}

impl Difference {
    /// Compares own records with the other replica's listing of the same buckets.
    pub fn between<'a>(
        own: impl Iterator<Item = &'a RecordEnvelope>,
        theirs: &[KeyRevision],
    ) -> Self {
        let mut difference = Self::default();
        let mut theirs: Vec<KeyRevision> = theirs.to_vec();
        theirs.sort_unstable_by_key(|entry| entry.0);
        let mut seen = vec![false; theirs.len()];
        for record in own {
            let hash = xxh3_64(record.key.as_str().as_bytes());
            let Ok(index) = theirs.binary_search_by_key(&hash, |entry| entry.0) else {
                difference.send.push(record.clone());
                continue;
            };
            seen[index] = true;
            if record.revision.0 > theirs[index].1 {
                difference.send.push(record.clone());
            } else if record.revision.0 < theirs[index].1 {
                difference.missing.push(hash);
            }
        }
        let unseen = theirs.iter().zip(seen).filter(|(_, seen)| !seen);
        difference.missing.extend(unseen.map(|(entry, _)| entry.0));
        difference
    }

    /// Appends the difference of other buckets.
    pub fn add(&mut self, other: Self) {
        self.send.extend(other.send);
        self.missing.extend(other.missing);
    }
}

/// Returns the bucket of a key: buckets are equal ranges of hashes.
fn bucket_of(key_hash: u64, count: usize) -> usize {
    ((u128::from(key_hash) * count as u128) >> 64) as usize
}
