use {
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        record::{RecordEnvelope, RecordFault},
        report::RecordState,
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Revisions held of one key: the newest one and, if that is invalid or of an unknown schema, the
/// one in force.
#[derive(Debug)]
pub(super) struct HeldRecord {
    pub newest: RecordEnvelope,
    /// Reason why the newest revision isn't in force; `None` if it is.
    pub fault: Option<RecordFault>,
    /// Newest valid revision, if it isn't the newest of all.
    pub former: Option<RecordEnvelope>,
}

impl HeldRecord {
    /// Returns the revision in force; `None` if no valid one is held.
    pub fn in_force(&self) -> Option<Revision> {
        match &self.fault {
            None => Some(self.newest.revision),
            Some(_) => self.former.as_ref().map(|former| former.revision),
        }
    }

    /// Returns the revisions held of the key, newest first.
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

/// Order of two revisions of one key. The higher revision number wins. Two values with one number
/// occur only if the platform was restored from a copy; then a deletion wins, else the higher hash.
/// Any rule works that depends on the bytes alone.
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

/// Returns the hash of a record's value; 0 for a tombstone.
pub(super) fn value_hash(envelope: &RecordEnvelope) -> u64 {
    match &envelope.value {
        Some(value) => xxh3_64(value.as_bytes()),
        None => 0,
    }
}

/// Returns the hash of a record's key.
pub(crate) fn key_hash(key: &RecordKey) -> u64 {
    xxh3_64(key.as_str().as_bytes())
}

/// Returns a hash of key, revision and value.
pub(super) fn envelope_hash(envelope: &RecordEnvelope) -> u64 {
    let seed = envelope.revision.0 ^ value_hash(envelope);
    xxh3_64_with_seed(envelope.key.as_str().as_bytes(), seed)
}
