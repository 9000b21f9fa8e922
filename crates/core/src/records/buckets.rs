use {super::held_record::key_hash, whinlatch_wire::ids::RecordKey};

/// Number of buckets into which records are divided by the hash of their key.
pub const BUCKET_COUNT: usize = 1_024;

/// One digest per bucket of records: the exclusive or of the hashes of all revisions held in it.
/// Two daemons that compare digests find the few buckets that differ without listing each record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BucketDigests {
    digests: Vec<u64>,
}

impl Default for BucketDigests {
    fn default() -> Self {
        Self {
            digests: vec![0; BUCKET_COUNT],
        }
    }
}

impl BucketDigests {
    /// Returns the bucket of a key, from the top bits of its hash.
    pub fn of(key: &RecordKey) -> usize {
        let top_bits = key_hash(key) >> (u64::BITS - BUCKET_COUNT.ilog2());
        top_bits as usize
    }

    /// Adds the hash of a record to its bucket, or removes it if it was added before.
    pub(super) fn toggle(&mut self, key: &RecordKey, hash: u64) {
        self.digests[Self::of(key)] ^= hash;
    }

    /// Returns the exclusive or of all digests: a digest of all records held.
    pub fn total(&self) -> u64 {
        self.digests.iter().fold(0, |total, digest| total ^ digest)
    }

    /// Returns the digests, in order of the buckets.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// Returns whether a bucket's digest equals the peer's; false if `theirs` lacks it.
    pub fn agrees(&self, bucket: usize, theirs: &[u64]) -> bool {
        theirs.get(bucket) == self.digests.get(bucket)
    }
}
