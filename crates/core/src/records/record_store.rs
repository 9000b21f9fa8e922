use {
    super::{
        Buckets, FullRead, InForce,
        held::{Held, envelope_hash, rank},
    },
    std::collections::BTreeMap,
    whinlatch_wire::{
        ids::{InstanceName, RecordKey, Revision, TargetName},
        peer::RecordSummary,
        record::{RecordBody, RecordEnvelope, RecordFault, parse_record},
        report::RecordStatus,
    },
};

/// What merging a record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Merge {
    /// It changes nothing: what is held wins.
    Old,
    /// The record is in force, or its tombstone is.
    InForce,
    /// The record is invalid; the former revision stays in force.
    Rejected(RecordFault),
}

/// What a read of all the platform's records shows by what it doesn't name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Absent {
    /// It names all that is held.
    None,
    /// It doesn't, but the platform was behind what is held, so that nothing follows.
    Stale,
    /// These were deleted.
    Deleted(Vec<RecordEnvelope>),
}

/// All records that this daemon holds, as a join: of two revisions of a key the higher wins,
/// whatever the order in which they come. A deletion is a tombstone with a revision and wins the
/// same way, so that a stale platform or peer can't bring a deleted record back.
///
/// Where the newest revision of a key is invalid, the newest valid one is held beside it. Without
/// it a daemon that starts later would get only the invalid one, from the platform and from its
/// peers, and have nothing in force where they serve on.
#[derive(Debug, Default)]
pub struct RecordStore {
    pub(super) held: BTreeMap<RecordKey, Held>,
    newest: Revision,
    count: u64,
    pub(super) buckets: Buckets,
    in_force: InForce,
}

impl RecordStore {
    /// Takes in a record from the platform or a peer.
    pub fn merge(&mut self, envelope: &RecordEnvelope) -> Merge {
        if !self.is_news(envelope) {
            return Merge::Old;
        }
        let verdict = envelope.value.as_deref().map(parse_record).transpose();
        match verdict {
            Ok(body) => self.put_in_force(envelope, body),
            Err(fault) => self.keep_rejected(envelope, fault),
        }
    }

    /// Whether a record may change what is held.
    fn is_news(&self, envelope: &RecordEnvelope) -> bool {
        let Some(held) = self.held.get(&envelope.key) else {
            return true;
        };
        if rank(envelope) >= rank(&held.newest) {
            return rank(envelope) > rank(&held.newest);
        }
        let beats_former = held
            .former
            .as_ref()
            .is_none_or(|former| rank(envelope) > rank(former));
        held.fault.is_some() && beats_former
    }

    fn put_in_force(&mut self, envelope: &RecordEnvelope, body: Option<RecordBody>) -> Merge {
        self.in_force.set(&envelope.key, body);
        let held = match self.take_out(&envelope.key) {
            Some(held) if rank(&held.newest) > rank(envelope) => Held {
                former: Some(envelope.clone()),
                ..held
            },
            _ => Held {
                newest: envelope.clone(),
                fault: None,
                former: None,
            },
        };
        self.put(held);
        Merge::InForce
    }

    fn keep_rejected(&mut self, envelope: &RecordEnvelope, fault: RecordFault) -> Merge {
        let former = match self.held.get(&envelope.key) {
            // Invalid and not the newest: of no use to anyone.
            Some(held) if rank(&held.newest) > rank(envelope) => return Merge::Old,
            Some(held) if held.fault.is_none() => Some(held.newest.clone()),
            Some(held) => held.former.clone(),
            None => None,
        };
        self.take_out(&envelope.key);
        self.put(Held {
            newest: envelope.clone(),
            fault: Some(fault.clone()),
            former,
        });
        Merge::Rejected(fault)
    }

    fn take_out(&mut self, key: &RecordKey) -> Option<Held> {
        let held = self.held.remove(key)?;
        for envelope in held.envelopes() {
            self.buckets.toggle(key, envelope_hash(envelope));
            self.count -= 1;
        }
        Some(held)
    }

    fn put(&mut self, held: Held) {
        for envelope in held.envelopes() {
            self.buckets.toggle(&envelope.key, envelope_hash(envelope));
            self.count += 1;
        }
        self.newest = self.newest.max(held.newest.revision);
        self.held.insert(held.newest.key.clone(), held);
    }

    /// Tombstones for the records that a read of all the platform's records no longer names.
    ///
    /// The platform may forget history, tombstones with it, while this daemon can't reach it; such
    /// a deletion shows only by absence. Its revision is unknown, so the tombstone carries that of
    /// the record it ends and wins over it: whatever is published later wins over both. A record
    /// newer than the read says nothing, and none does if the platform is behind what is held:
    /// then it is stale, and absence doesn't mean deletion.
    pub fn absent_from(&self, read: &FullRead) -> Absent {
        let absent: Vec<&RecordEnvelope> = self
            .held
            .values()
            .map(|held| &held.newest)
            .filter(|newest| newest.value.is_some() && !read.contains(&newest.key))
            .collect();
        if absent.is_empty() {
            return Absent::None;
        }
        if read.as_of() < self.newest {
            return Absent::Stale;
        }
        let tombstones = absent.into_iter().map(|newest| RecordEnvelope {
            key: newest.key.clone(),
            revision: newest.revision,
            value: None,
        });
        Absent::Deleted(tombstones.collect())
    }

    /// What is in force.
    pub fn in_force(&self) -> &InForce {
        &self.in_force
    }

    /// Highest revision held.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Revision in force of the record that names a target.
    pub fn revision_of_target(&self, target: &TargetName) -> Option<Revision> {
        let key = self.in_force.key_of_target(target)?;
        self.held.get(key)?.in_force()
    }

    /// Sums up what is held, to compare with a peer. Covers the newest revisions and, where they
    /// are invalid, those in force.
    pub fn summary(&self) -> RecordSummary {
        RecordSummary {
            newest: self.newest,
            count: self.count,
            digest: self.buckets.total(),
        }
    }

    /// The state of each record for operators. `holders` names the instances that hold all records
    /// of a bucket.
    pub fn statuses(&self, holders: impl Fn(usize) -> Vec<InstanceName>) -> Vec<RecordStatus> {
        self.held
            .iter()
            .map(|(key, held)| RecordStatus {
                key: key.clone(),
                revision: held.newest.revision,
                in_force: held.in_force(),
                state: held.state(),
                instances: holders(Buckets::of(key)),
            })
            .collect()
    }
}
