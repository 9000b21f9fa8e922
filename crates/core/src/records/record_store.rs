use {
    super::InForce,
    std::collections::BTreeMap,
    whinlatch_wire::{
        ids::{InstanceName, RecordKey, Revision, TargetName},
        peer::RecordSummary,
        record::{RecordEnvelope, RecordFault, parse_record},
        report::{RecordState, RecordStatus},
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// What merging a record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Merge {
    /// The record is not newer than the one held.
    Old,
    /// The record is in force, or its tombstone is.
    InForce,
    /// The record is invalid; the former revision stays in force.
    Rejected(RecordFault),
}

/// All records that this daemon holds, as a join: of two revisions of a key the higher wins,
/// whatever the order in which they come. A deletion is a tombstone with a revision and wins the
/// same way, so that a stale platform or peer can't bring a deleted record back.
#[derive(Debug, Default)]
pub struct RecordStore {
    held: BTreeMap<RecordKey, Held>,
    newest: Revision,
    digest: u64,
    in_force: InForce,
}

#[derive(Debug)]
struct Held {
    newest: RecordEnvelope,
    fault: Option<RecordFault>,
    in_force: Option<Revision>,
}

impl RecordStore {
    /// Takes in a record from the platform or a peer.
    pub fn merge(&mut self, envelope: &RecordEnvelope) -> Merge {
        if let Some(held) = self.held.get(&envelope.key)
            && held.newest.revision >= envelope.revision
        {
            return Merge::Old;
        }
        let former = self.held.remove(&envelope.key);
        if let Some(former) = &former {
            self.digest ^= hash_of(&former.newest);
        }
        self.digest ^= hash_of(envelope);
        self.newest = self.newest.max(envelope.revision);
        let verdict = envelope.value.as_deref().map(parse_record).transpose();
        let (merge, held) = match verdict {
            Ok(body) => {
                self.in_force.set(&envelope.key, body);
                (
                    Merge::InForce,
                    Held {
                        newest: envelope.clone(),
                        fault: None,
                        in_force: Some(envelope.revision),
                    },
                )
            }
            Err(fault) => (
                Merge::Rejected(fault.clone()),
                Held {
                    newest: envelope.clone(),
                    fault: Some(fault),
                    in_force: former.and_then(|former| former.in_force),
                },
            ),
        };
        self.held.insert(envelope.key.clone(), held);
        merge
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
        self.held.get(key)?.in_force
    }

    /// Sums up what is held, to compare with a peer.
    pub fn summary(&self) -> RecordSummary {
        RecordSummary {
            newest: self.newest,
            count: self.held.len() as u64,
            digest: self.digest,
        }
    }

    /// Records newer than `after`.
    pub fn after(&self, after: Revision) -> Vec<RecordEnvelope> {
        self.held
            .values()
            .filter(|held| held.newest.revision > after)
            .map(|held| held.newest.clone())
            .collect()
    }

    /// The state of each record for operators; `holders` are the instances that hold all of them.
    pub fn statuses(&self, holders: &[InstanceName]) -> Vec<RecordStatus> {
        self.held
            .iter()
            .map(|(key, held)| RecordStatus {
                key: key.clone(),
                revision: held.newest.revision,
                in_force: held.in_force,
                state: held.state(),
                instances: holders.to_vec(),
            })
            .collect()
    }
}

impl Held {
    fn state(&self) -> RecordState {
        match &self.fault {
            Some(fault) => RecordState::Rejected {
                reason: fault.to_string(),
            },
            None if self.newest.value.is_none() => RecordState::Deleted,
            None => RecordState::InForce,
        }
    }
}

fn hash_of(envelope: &RecordEnvelope) -> u64 {
    xxh3_64_with_seed(envelope.key.as_str().as_bytes(), envelope.revision.0)
}
