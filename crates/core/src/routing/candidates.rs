use {
    crate::{event::Work, fleet::Targets, records::InForce},
    std::{collections::HashMap, sync::Arc},
    whinlatch_wire::{
        ids::{AdapterName, ModelName, ProviderName, ServiceName},
        record::{ProviderShare, TargetRecord, TargetRole},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// A target that serves a kind of work according to its record, whether or not it is live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Index of the target in [`Targets`].
    pub index: usize,
    /// Memory of the engine in tokens; `u64::MAX` for plain services.
    pub memory_tokens: u64,
    name_hash: u64,
}

/// A model or service at one provider, in one version if the route states one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Kind {
    served: Served,
    provider: ProviderName,
    version: Option<u32>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Served {
    Model(ModelName, Option<AdapterName>),
    Service(ServiceName),
}

/// Cache of the targets that serve each kind of work, rebuilt when targets or their records change. All
/// daemons list the targets in the same order, by a hash of their names.
#[derive(Debug, Default)]
pub struct Candidates {
    epoch: u64,
    lists: HashMap<Kind, Arc<[Candidate]>>,
}

impl Candidates {
    /// Returns the targets of a provider that serve the work, live or not.
    pub fn of(
        &mut self,
        in_force: &InForce,
        targets: &Targets,
        work: &Work,
        share: &ProviderShare,
    ) -> Arc<[Candidate]> {
        if self.epoch != targets.epoch() {
            self.epoch = targets.epoch();
            self.lists.clear();
        }
        let kind = Kind {
            served: served(work),
            provider: share.provider.clone(),
            version: share.version,
        };
        let list = self
            .lists
            .entry(kind)
            .or_insert_with(|| find_candidates(in_force, targets, work, share));
        Arc::clone(list)
    }
}

fn served(work: &Work) -> Served {
    match work {
        Work::Prompt { model, adapter, .. } => Served::Model(model.clone(), adapter.clone()),
        Work::Call { service } => Served::Service(service.clone()),
    }
}

fn find_candidates(
    in_force: &InForce,
    targets: &Targets,
    work: &Work,
    share: &ProviderShare,
) -> Arc<[Candidate]> {
    let mut list: Vec<Candidate> = in_force
        .targets()
        .filter(|record| record.provider == share.provider && serves(record, share, work))
        .filter_map(|record| {
            Some(Candidate {
                index: targets.index_of(&record.target)?,
                memory_tokens: memory_of(record).unwrap_or(u64::MAX),
                name_hash: xxh3_64(record.target.as_str().as_bytes()),
            })
        })
        .collect();
    list.sort_by_key(|candidate| candidate.name_hash);
    list.into()
}

/// Returns whether a target serves the work according to its record, in the version that the route's
/// share requires, if any.
pub fn serves(record: &TargetRecord, share: &ProviderShare, work: &Work) -> bool {
    match (&record.role, work) {
        (TargetRole::Engine { models, .. }, Work::Prompt { model, adapter, .. }) => {
            models.iter().any(|served| {
                served.model == *model
                    && served.adapter == *adapter
                    && share
                        .version
                        .is_none_or(|version| version == served.version)
            })
        }
        (TargetRole::Service { service }, Work::Call { service: wanted }) => service == wanted,
        _ => false,
    }
}

/// Returns the memory of an engine in tokens; `None` for plain services.
pub fn memory_of(record: &TargetRecord) -> Option<u64> {
    match &record.role {
        TargetRole::Engine { memory_tokens, .. } => Some(*memory_tokens),
        TargetRole::Service { .. } => None,
    }
}

/// Returns the memory that the work needs until its answer is complete, in tokens; 0 for calls.
pub fn tokens_of(work: &Work) -> u64 {
    match work {
        Work::Prompt {
            prompt_tokens,
            max_tokens,
            ..
        } => prompt_tokens + u64::from(*max_tokens),
        Work::Call { .. } => 0,
    }
}
