use {
    crate::{event::Work, fleet::Targets, records::InForce},
    std::{collections::HashMap, sync::Arc},
    whinlatch_wire::{
        ids::{AdapterName, ModelName, ProviderName, ServiceName},
        record::{ProviderShare, TargetRecord, TargetRole},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// A target that serves some work, whether or not it is live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Its place among the targets.
    pub place: usize,
    /// Tokens of memory that it has.
    pub memory_tokens: u64,
    rank: u64,
}

/// Work of one kind by one provider.
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

/// The targets that serve each kind of work, found once for each state of the records. All daemons
/// list them in the same order, which is that of a hash of their names.
#[derive(Debug, Default)]
pub struct Candidates {
    epoch: u64,
    lists: HashMap<Kind, Arc<[Candidate]>>,
}

impl Candidates {
    /// The targets of a provider that serve the work.
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
            .or_insert_with(|| list(in_force, targets, work, share));
        Arc::clone(list)
    }
}

fn served(work: &Work) -> Served {
    match work {
        Work::Prompt { model, adapter, .. } => Served::Model(model.clone(), adapter.clone()),
        Work::Call { service } => Served::Service(service.clone()),
    }
}

fn list(
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
                place: targets.index_of(&record.target)?,
                memory_tokens: memory_of(record).unwrap_or(u64::MAX),
                rank: xxh3_64(record.target.as_str().as_bytes()),
            })
        })
        .collect();
    list.sort_by_key(|candidate| candidate.rank);
    list.into()
}

/// Whether a target's record says that it serves the work as a route's share demands.
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

/// Tokens of memory that an engine has; `None` for plain services.
pub fn memory_of(record: &TargetRecord) -> Option<u64> {
    match &record.role {
        TargetRole::Engine { memory_tokens, .. } => Some(*memory_tokens),
        TargetRole::Service { .. } => None,
    }
}

/// Tokens of memory that the work takes until its answer is whole.
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
