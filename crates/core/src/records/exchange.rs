//! What two daemons tell each other of the records that they hold.

use {
    super::{
        Buckets, RecordStore,
        held::{Held, key_hash, value_hash},
    },
    std::collections::{HashMap, HashSet},
    whinlatch_wire::{ids::RecordKey, peer::RecordStamp, record::RecordEnvelope},
};

/// Most stamps in one listing. What is over comes with the next, when these buckets agree.
const MAX_STAMPS: usize = 100_000;

impl RecordStore {
    /// Digests of the buckets.
    pub fn buckets(&self) -> &Buckets {
        &self.buckets
    }

    /// Stamps of all that is held in the buckets whose digests differ from a peer's.
    pub fn listing(&self, theirs: &[u64]) -> Vec<RecordStamp> {
        self.held
            .iter()
            .filter(|(key, _)| !self.buckets.agrees(Buckets::of(key), theirs))
            .flat_map(|(key, held)| stamps(key, held))
            .take(MAX_STAMPS)
            .collect()
    }

    /// Hashes of the keys of which a peer's stamps show something that is wanted here.
    pub fn wanted(&self, stamps: &[RecordStamp]) -> Vec<u64> {
        let by_hash: HashMap<u64, &Held> = self
            .held
            .iter()
            .map(|(key, held)| (key_hash(key), held))
            .collect();
        let wanted: HashSet<u64> = stamps
            .iter()
            .filter(|stamp| {
                by_hash
                    .get(&stamp.key_hash)
                    .is_none_or(|held| may_change(held, stamp))
            })
            .map(|stamp| stamp.key_hash)
            .collect();
        let mut wanted: Vec<u64> = wanted.into_iter().collect();
        wanted.sort_unstable();
        wanted
    }

    /// All that is held of the keys with these hashes, until `max_bytes` are reached. At least one
    /// key is answered, so that a pull always gets on.
    pub fn of_keys(&self, key_hashes: &[u64], max_bytes: usize) -> Vec<RecordEnvelope> {
        let asked: HashSet<u64> = key_hashes.iter().copied().collect();
        let mut bytes = 0;
        self.held
            .iter()
            .filter(|(key, _)| asked.contains(&key_hash(key)))
            .take_while(|(_, held)| {
                let first = bytes == 0;
                bytes += held.envelopes().map(size).sum::<usize>();
                first || bytes <= max_bytes
            })
            .flat_map(|(_, held)| held.envelopes().cloned())
            .collect()
    }
}

/// Bytes of a record that count in a frame.
pub(crate) fn size(envelope: &RecordEnvelope) -> usize {
    /// Field names, revision and lengths.
    const FRAMING_BYTES: usize = 40;
    let value = envelope.value.as_deref().map_or(0, str::len);
    envelope.key.as_str().len() + value + FRAMING_BYTES
}

fn stamps(key: &RecordKey, held: &Held) -> impl Iterator<Item = RecordStamp> {
    let key_hash = key_hash(key);
    held.envelopes().map(move |envelope| RecordStamp {
        key_hash,
        revision: envelope.revision,
        value_hash: value_hash(envelope) as u32,
    })
}

/// Whether the record that a stamp stands for may win over what is held.
fn may_change(held: &Held, stamp: &RecordStamp) -> bool {
    let known = held.envelopes().any(|envelope| is_of(envelope, stamp));
    if known || stamp.revision > held.newest.revision {
        return !known;
    }
    if stamp.revision == held.newest.revision {
        return true;
    }
    let beats_former = held
        .former
        .as_ref()
        .is_none_or(|former| stamp.revision >= former.revision);
    held.fault.is_some() && beats_former
}

fn is_of(envelope: &RecordEnvelope, stamp: &RecordStamp) -> bool {
    envelope.revision == stamp.revision && value_hash(envelope) as u32 == stamp.value_hash
}
