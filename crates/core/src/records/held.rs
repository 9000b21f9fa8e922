use {
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        record::{RecordEnvelope, RecordFault},
        report::RecordState,
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// What is held of one key: its newest revision, and the one in force where the newest is invalid
/// or of a schema that isn't known here.
#[derive(Debug)]
pub(super) struct Held {
    pub newest: RecordEnvelope,
    /// Why the newest isn't in force.
    pub fault: Option<RecordFault>,
    /// The newest valid one, where that isn't the newest of all.
    pub former: Option<RecordEnvelope>,
}

impl Held {
    /// The revision in force.
    pub fn in_force(&self) -> Option<Revision> {
        match &self.fault {
            None => Some(self.newest.revision),
            Some(_) => self.former.as_ref().map(|former| former.revision),
        }
    }

    /// All that is held of the key, newest first.
    pub fn envelopes(&self) -> impl Iterator<Item = &RecordEnvelope> {
        std::iter::once(&self.newest).chain(&self.former)
    }

    pub fn state(&self) -> RecordState {
        match &self.fault {
            Some(fault) => RecordState::Rejected {
                reason: fault.to_string(),
            },
            None if self.newest.value.is_none() => RecordState::Deleted,
            None => RecordState::InForce,
        }
    }
}

/// Order of two statements about one key. The higher revision wins. Of two with one revision, which
/// only a platform restored from a copy gives out, a deletion wins, then the higher hash: any rule
/// does that depends on the bytes alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    revision: Revision,
    deleted: bool,
    value_hash: u64,
}

pub(super) fn rank(envelope: &RecordEnvelope) -> Rank {
    Rank {
        revision: envelope.revision,
        deleted: envelope.value.is_none(),
        value_hash: value_hash(envelope),
    }
}

/// Hash of a record's bytes; 0 for a tombstone.
pub(super) fn value_hash(envelope: &RecordEnvelope) -> u64 {
    match &envelope.value {
        Some(value) => xxh3_64(value.as_bytes()),
        None => 0,
    }
}

/// Hash of a record's key.
pub(crate) fn key_hash(key: &RecordKey) -> u64 {
    xxh3_64(key.as_str().as_bytes())
}

/// Hash of key, revision and bytes.
pub(super) fn envelope_hash(envelope: &RecordEnvelope) -> u64 {
    let seed = envelope.revision.0 ^ value_hash(envelope);
    xxh3_64_with_seed(envelope.key.as_str().as_bytes(), seed)
}
