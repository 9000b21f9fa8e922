//! Comparison and exchange of records between two daemons.

use {
    super::{
        BucketDigests, RecordStore,
        held_record::{HeldRecord, key_hash, value_hash},
    },
    std::collections::{HashMap, HashSet},
    whinlatch_wire::{ids::RecordKey, peer::RecordStamp, record::RecordEnvelope},
};

/// Maximum number of stamps in one listing. The rest comes with the next listing, once these
/// buckets agree.
const MAX_STAMPS: usize = 100_000;

impl RecordStore {
    /// Returns the digests of the buckets.
    pub fn buckets(&self) -> &BucketDigests {
        &self.buckets
    }

    /// Returns the stamps of all revisions held in the buckets whose digests differ from the
    /// peer's.
    pub fn listing(&self, theirs: &[u64]) -> Vec<RecordStamp> {
        self.held
            .iter()
            .filter(|(key, _)| !self.buckets.agrees(BucketDigests::of(key), theirs))
            .flat_map(|(key, held)| stamps(key, held))
            .take(MAX_STAMPS)
            .collect()
    }

    /// Returns the hashes of the keys for which a peer's stamps show a revision that may change
    /// what is held here, in ascending order.
    pub fn wanted_keys(&self, stamps: &[RecordStamp]) -> Vec<u64> {
        let held_by_hash: HashMap<u64, &HeldRecord> = self
            .held
            .iter()
            .map(|(key, held)| (key_hash(key), held))
            .collect();
        let wanted: HashSet<u64> = stamps
            .iter()
            .filter(|stamp| {
                held_by_hash
                    .get(&stamp.key_hash)
                    .is_none_or(|held| may_change(held, stamp))
            })
            .map(|stamp| stamp.key_hash)
            .collect();
        let mut wanted: Vec<u64> = wanted.into_iter().collect();
        wanted.sort_unstable();
        wanted
    }

    /// Returns all revisions held of the keys with these hashes, until `max_bytes` are reached. The
    /// first key is returned even if it is larger, so that a pull always makes progress.
    pub fn envelopes_of(&self, key_hashes: &[u64], max_bytes: usize) -> Vec<RecordEnvelope> {
        let requested: HashSet<u64> = key_hashes.iter().copied().collect();
        let mut bytes = 0;
        self.held
            .iter()
            .filter(|(key, _)| requested.contains(&key_hash(key)))
            .take_while(|(_, held)| {
                let is_first = bytes == 0;
                bytes += held.envelopes().map(frame_bytes).sum::<usize>();
                is_first || bytes <= max_bytes
            })
            .flat_map(|(_, held)| held.envelopes().cloned())
            .collect()
    }
}

/// Returns the approximate size of a record in a frame, in bytes.
pub(crate) fn frame_bytes(envelope: &RecordEnvelope) -> usize {
    /// Field names, revision and lengths.
    const FRAMING_BYTES: usize = 40;
    let value = envelope.value.as_deref().map_or(0, str::len);
    envelope.key.as_str().len() + value + FRAMING_BYTES
}

fn stamps(key: &RecordKey, held: &HeldRecord) -> impl Iterator<Item = RecordStamp> {
    let key_hash = key_hash(key);
    held.envelopes().map(move |envelope| RecordStamp {
        key_hash,
        revision: envelope.revision,
        value_hash: value_hash(envelope) as u32,
    })
}

/// Returns whether the revision that a stamp describes may replace the one held.
fn may_change(held: &HeldRecord, stamp: &RecordStamp) -> bool {
    let known = held
        .envelopes()
        .any(|envelope| matches_stamp(envelope, stamp));
    if known || stamp.revision > held.newest.revision {
        return !known;
    }
    if stamp.revision == held.newest.revision {
        return true;
    }
    let outranks_former = held
        .former
        .as_ref()
        .is_none_or(|former| stamp.revision >= former.revision);
    held.fault.is_some() && outranks_former
}

fn matches_stamp(envelope: &RecordEnvelope, stamp: &RecordStamp) -> bool {
    envelope.revision == stamp.revision && value_hash(envelope) as u32 == stamp.value_hash
}
