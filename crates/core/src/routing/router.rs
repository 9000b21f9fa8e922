use {
    super::{Ask, NoChoice},
    crate::{
        event::Work,
        fleet::{TargetState, Targets},
        records::InForce,
    },
    std::cmp::Reverse,
    whinlatch_wire::{
        ids::{ProviderName, TargetName},
        record::{ProviderShare, TargetRecord, TargetRole},
    },
};

/// Chooses targets.
#[derive(Debug, Default)]
pub struct Router;

impl Router {
    /// Chooses a target for a request.
    ///
    /// # Errors
    /// [`NoChoice`] if no target can take it.
    pub fn choose(
        &mut self,
        in_force: &InForce,
        targets: &Targets,
        ask: &Ask<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<TargetName, NoChoice> {
        let provider = draw_provider(&ask.route.providers, rng);
        let mut too_long = false;
        let mut best: Option<(Reverse<bool>, bool, u32, u32, &TargetName)> = None;
        for record in in_force.targets() {
            let Some(state) = targets.get(&record.target) else {
                continue;
            };
            let Some(share) = ask
                .route
                .providers
                .iter()
                .find(|s| s.provider == record.provider)
            else {
                continue;
            };
            if !state.takes_work() || !serves(record, share, ask.work) {
                continue;
            }
            if !fits(record, ask.work) {
                too_long = true;
                continue;
            }
            let rank = (
                Reverse(Some(&record.provider) != provider),
                ask.tried.contains(&record.target),
                load_of(state),
                rng.u32(..),
                &record.target,
            );
            if best.as_ref().is_none_or(|b| better(&rank, b)) {
                best = Some(rank);
            }
        }
        match best {
            Some((.., target)) => Ok(target.clone()),
            None if too_long => Err(NoChoice::TooLong),
            None => Err(NoChoice::NoneLive),
        }
    }
}

type Rank<'a> = (Reverse<bool>, bool, u32, u32, &'a TargetName);

fn better(rank: &Rank<'_>, than: &Rank<'_>) -> bool {
    (Reverse(rank.0), rank.1, rank.2, rank.3) < (Reverse(than.0), than.1, than.2, than.3)
}

/// Draws a provider by the shares of a route.
pub fn draw_provider<'a>(
    shares: &'a [ProviderShare],
    rng: &mut fastrand::Rng,
) -> Option<&'a ProviderName> {
    let total: u32 = shares.iter().map(|share| share.share_per_mille).sum();
    let mut point = rng.u32(0..total.max(1));
    for share in shares {
        if point < share.share_per_mille {
            return Some(&share.provider);
        }
        point -= share.share_per_mille;
    }
    None
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

fn fits(record: &TargetRecord, work: &Work) -> bool {
    memory_of(record).is_none_or(|memory| tokens_of(work) <= memory)
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

fn load_of(state: &TargetState) -> u32 {
    let reported = state
        .report
        .as_ref()
        .map_or(0, |report| report.running + report.waiting);
    reported.max(state.in_flight)
}
