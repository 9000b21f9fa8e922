use {super::held::key_hash, whinlatch_wire::ids::RecordKey};

/// Number of buckets over which the records are spread by the hash of their key.
pub const BUCKETS: usize = 1_024;

/// A digest for each bucket of records: the exclusive or of the hashes of all that is held in it.
/// Two daemons that compare them find the few buckets that differ without naming each record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Buckets {
    digests: Vec<u64>,
}

impl Default for Buckets {
    fn default() -> Self {
        Self {
            digests: vec![0; BUCKETS],
        }
    }
}

impl Buckets {
    /// The bucket of a key.
    pub fn of(key: &RecordKey) -> usize {
        let top_bits = key_hash(key) >> (u64::BITS - BUCKETS.ilog2());
        top_bits as usize
    }

    /// Adds the hash of a record to its bucket, or takes it out again.
    pub(super) fn toggle(&mut self, key: &RecordKey, hash: u64) {
        self.digests[Self::of(key)] ^= hash;
    }

    /// The exclusive or of all.
    pub fn total(&self) -> u64 {
        self.digests.iter().fold(0, |total, digest| total ^ digest)
    }

    /// The digests in order.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// Whether a bucket is the same in a peer's digests.
    pub fn agrees(&self, bucket: usize, theirs: &[u64]) -> bool {
        theirs.get(bucket) == self.digests.get(bucket)
    }
}
