use {
    super::{
        BucketDigests, FullRead, InForce,
        held_record::{HeldRecord, envelope_hash, rank},
    },
    std::collections::BTreeMap,
    whinlatch_wire::{
        ids::{InstanceName, RecordKey, Revision, TargetName},
        peer::RecordSummary,
        record::{RecordBody, RecordEnvelope, RecordFault, parse_record},
        report::RecordStatus,
    },
};

/// Result of merging a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Merge {
    /// Nothing changed: what is held wins.
    Old,
    /// The record, or its tombstone, is in force now.
    InForce,
    /// The record is invalid; the former revision stays in force.
    Rejected(RecordFault),
}

/// Held records that a full read of the platform doesn't contain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MissingRecords {
    /// The read contains all records held.
    None,
    /// Some are missing, but the platform's revision was behind the newest held, which proves
    /// nothing.
    Stale,
    /// Tombstones of the records that were deleted.
    Deleted(Vec<RecordEnvelope>),
}

/// All records that this daemon holds, merged as a join: of two revisions of a key the higher wins,
/// regardless of the order of arrival. A deletion is a tombstone with a revision and wins in the same
/// way, so that a stale platform or peer can't restore a deleted record.
///
/// If the newest revision of a key is invalid, the newest valid one is kept beside it. Otherwise a
/// daemon that starts later would receive only the invalid one, from the platform and from its
/// peers, and would have nothing in force while its peers serve on.
#[derive(Debug, Default)]
pub struct RecordStore {
    pub(super) held: BTreeMap<RecordKey, HeldRecord>,
    newest: Revision,
    count: u64,
    pub(super) buckets: BucketDigests,
    in_force: InForce,
}

impl RecordStore {
    /// Merges a record from the platform or a peer.
    pub fn merge(&mut self, envelope: &RecordEnvelope) -> Merge {
        if !self.may_change(envelope) {
            return Merge::Old;
        }
        let parsed = envelope.value.as_deref().map(parse_record).transpose();
        match parsed {
            Ok(body) => self.store_valid(envelope, body),
            Err(fault) => self.store_rejected(envelope, fault),
        }
    }

    /// Returns whether a record may change what is held.
    fn may_change(&self, envelope: &RecordEnvelope) -> bool {
        let Some(held) = self.held.get(&envelope.key) else {
            return true;
        };
        if rank(envelope) >= rank(&held.newest) {
            return rank(envelope) > rank(&held.newest);
        }
        let outranks_former = held
            .former
            .as_ref()
            .is_none_or(|former| rank(envelope) > rank(former));
        held.fault.is_some() && outranks_former
    }

    fn store_valid(&mut self, envelope: &RecordEnvelope, body: Option<RecordBody>) -> Merge {
        self.in_force.set(&envelope.key, body);
        let held = match self.remove(&envelope.key) {
            Some(held) if rank(&held.newest) > rank(envelope) => HeldRecord {
                former: Some(envelope.clone()),
                ..held
            },
            _ => HeldRecord {
                newest: envelope.clone(),
                fault: None,
                former: None,
            },
        };
        self.insert(held);
        Merge::InForce
    }

    fn store_rejected(&mut self, envelope: &RecordEnvelope, fault: RecordFault) -> Merge {
        let former = match self.held.get(&envelope.key) {
            // An invalid revision that isn't the newest never comes into force.
            Some(held) if rank(&held.newest) > rank(envelope) => return Merge::Old,
            Some(held) if held.fault.is_none() => Some(held.newest.clone()),
            Some(held) => held.former.clone(),
            None => None,
        };
        self.remove(&envelope.key);
        self.insert(HeldRecord {
            newest: envelope.clone(),
            fault: Some(fault.clone()),
            former,
        });
        Merge::Rejected(fault)
    }

    fn remove(&mut self, key: &RecordKey) -> Option<HeldRecord> {
        let held = self.held.remove(key)?;
        for envelope in held.envelopes() {
            self.buckets.toggle(key, envelope_hash(envelope));
            self.count -= 1;
        }
        Some(held)
    }

    fn insert(&mut self, held: HeldRecord) {
        for envelope in held.envelopes() {
            self.buckets.toggle(&envelope.key, envelope_hash(envelope));
            self.count += 1;
        }
        self.newest = self.newest.max(held.newest.revision);
        self.held.insert(held.newest.key.clone(), held);
    }

    /// Finds deletions in a full read: records held that the read doesn't contain.
    ///
    /// The platform may drop history, tombstones included, while this daemon can't reach it; such a
    /// deletion shows only by absence. Its revision is unknown, so the tombstone carries the
    /// revision of the record it ends and wins over it; anything published later wins over both. If
    /// the platform's revision is behind the newest one held, the platform is stale or a peer sent
    /// a newer record during the read, and absence proves nothing.
    pub fn find_missing(&self, read: &FullRead) -> MissingRecords {
        let missing: Vec<&RecordEnvelope> = self
            .held
            .values()
            .map(|held| &held.newest)
            .filter(|newest| newest.value.is_some() && !read.contains(&newest.key))
            .collect();
        if missing.is_empty() {
            return MissingRecords::None;
        }
        if read.as_of() < self.newest {
            return MissingRecords::Stale;
        }
        let tombstones = missing.into_iter().map(|newest| RecordEnvelope {
            key: newest.key.clone(),
            revision: newest.revision,
            value: None,
        });
        MissingRecords::Deleted(tombstones.collect())
    }

    /// Returns the records in force.
    pub fn in_force(&self) -> &InForce {
        &self.in_force
    }

    /// Returns the highest revision held.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Returns the revision in force of the record that declares a target.
    pub fn revision_of_target(&self, target: &TargetName) -> Option<Revision> {
        let key = self.in_force.key_of_target(target)?;
        self.held.get(key)?.in_force()
    }

    /// Summarizes what is held, for comparison with a peer. It covers the newest revisions and,
    /// where they are invalid, those in force.
    pub fn summary(&self) -> RecordSummary {
        RecordSummary {
            newest: self.newest,
            count: self.count,
            digest: self.buckets.total(),
        }
    }

    /// Returns the state of each record for operators. `instances_holding` returns the instances
    /// that hold all records of a bucket.
    pub fn statuses(
        &self,
        instances_holding: impl Fn(usize) -> Vec<InstanceName>,
    ) -> Vec<RecordStatus> {
        self.held
            .iter()
            .map(|(key, held)| RecordStatus {
                key: key.clone(),
                revision: held.newest.revision,
                in_force: held.in_force(),
                state: held.state(),
                instances: instances_holding(BucketDigests::of(key)),
            })
            .collect()
    }
}
