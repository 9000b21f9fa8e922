use {
    super::{
        Candidate, Candidates, ProviderRotation, RoutingError, RoutingRequest, ShortPromptReserve,
        Weight, tokens_of,
    },
    crate::{
        fleet::{TargetState, Targets},
        placement::{ChosenGroup, GroupError, WaitingPrompt, choose_group},
        records::InForce,
        time::MonoMs,
    },
    whinlatch_wire::{ids::TargetName, record::ProviderShare},
};

/// Minimum wait of a prompt at an engine that runs a less urgent one, in ms: the rest of its step.
const CURRENT_STEP_MS: f64 = 150.0;
/// Wait added for each running request, in ms.
const WAIT_PER_RUNNING_MS: f64 = 2.0;
/// Extra wait that a light prompt accepts before it goes to a target for long prompts, in ms, if the
/// policy only weighs the first token of long prompts.
const SPILL_LIGHT_MS: f64 = 300.0;
/// Extra wait that a medium prompt accepts before it goes to a target for long prompts, in ms, if the
/// policy only weighs the first token of long prompts.
const SPILL_MEDIUM_MS: f64 = 3_000.0;
/// Targets whose predicted times differ from the best by at most this count as equal, in ms.
const TIE_MARGIN_MS: f64 = 5.0;

/// Penalty that ranks a target that the request avoids behind all others, in ms.
pub(crate) const AVOIDED_PENALTY_MS: f64 = 1e9;
/// Penalty that ranks a busy target behind idle ones for a request that may crash it, in ms.
const SHARED_PENALTY_MS: f64 = 1e8;

/// A chosen target with its predicted times.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Target to send the attempt to.
    pub target: TargetName,
    /// Predicted time until the target starts on the prompt, in ms.
    pub wait_ms: f64,
    /// Predicted prefill time of the prompt, in ms.
    pub read_ms: f64,
}

/// State of the daemon on which a choice is based.
#[derive(Debug, Clone, Copy)]
pub struct RoutingContext<'a> {
    /// Time of the choice.
    pub now: MonoMs,
    /// Records in force.
    pub in_force: &'a InForce,
    /// Targets with their state and load.
    pub targets: &'a Targets,
    /// Number of daemons that are alive, including this one.
    pub daemons: usize,
}

/// Chooses the target of a request by provider share and predicted time.
#[derive(Debug, Default)]
pub struct Router {
    candidates: Candidates,
    reserve: ShortPromptReserve,
    rotation: ProviderRotation,
    /// Index in [`Targets`] and predicted time in ms of each usable target of the current choice.
    scores: Vec<(usize, f64)>,
}

impl Router {
    /// Chooses a target for a request.
    ///
    /// # Errors
    /// [`RoutingError`] if no target can take it.
    pub fn choose(
        &mut self,
        context: &RoutingContext<'_>,
        request: &RoutingRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<Choice, RoutingError> {
        let next = self.rotation.next(request.route, request.weight, rng);
        let mut too_long = false;
        for (provider, share) in in_order(&request.route.providers, next) {
            let list = self
                .candidates
                .of(context.in_force, context.targets, request.work, share);
            let usable = self.score_usable(context, request, &list, &mut too_long);
            if usable == 0 {
                continue;
            }
            let for_long = usable - self.reserved_count(context, share, usable);
            let spill_ms = spill_ms(context, request);
            for (_, score) in &mut self.scores[..for_long] {
                *score += spill_ms;
            }
            self.rotation
                .charge(request.route, request.weight, provider, rng);
            let index = self.pick_near_best(rng);
            let state = context.targets.at(index);
            let target = context.targets.name_at(index);
            return Ok(predict_choice(context.now, state, request, target, 1));
        }
        Err(if too_long {
            RoutingError::TooLong
        } else {
            RoutingError::NoneLive
        })
    }

    /// Chooses the engines of a long prompt. Prefers `provider`, the one assigned to the prompt, and takes
    /// another if it lacks engines.
    ///
    /// # Errors
    /// [`GroupError`] if no provider has enough engines.
    pub fn choose_group(
        &mut self,
        context: &RoutingContext<'_>,
        request: &RoutingRequest<'_>,
        waiting: WaitingPrompt,
        provider: usize,
        rng: &mut fastrand::Rng,
    ) -> Result<ChosenGroup, GroupError> {
        let mut error = GroupError::TooLong;
        for (_, share) in in_order(&request.route.providers, provider) {
            let list = self
                .candidates
                .of(context.in_force, context.targets, request.work, share);
            let usable: Vec<Candidate> = list
                .iter()
                .filter(|candidate| context.targets.at(candidate.index).accepts_work())
                .copied()
                .collect();
            let reserved = self.reserved_count(context, share, usable.len());
            let for_long = &usable[..usable.len() - reserved];
            let chosen = choose_group(context, request, waiting, for_long, rng)
                .or_else(|_| choose_group(context, request, waiting, &usable, rng));
            if chosen.is_ok() {
                return chosen;
            }
            // Engines that aren't live may return: the prompt is too long only if all engines together,
            // live or not, can't hold it.
            let memory: u64 = list.iter().map(|candidate| candidate.memory_tokens).sum();
            if memory >= tokens_of(request.work) {
                error = GroupError::NoneLive;
            }
        }
        Err(error)
    }

    /// Returns the number of a provider's usable targets that are reserved for light and medium prompts.
    fn reserved_count(
        &self,
        context: &RoutingContext<'_>,
        share: &ProviderShare,
        usable: usize,
    ) -> usize {
        let fraction = f64::from(share.share_per_mille) / 1_000.0;
        let policy = context.in_force.policy();
        self.reserve
            .targets(policy, usable, context.daemons, fraction)
    }

    /// Assigns a long prompt to the next provider and charges the prompt to it immediately, since its engines
    /// are chosen later. Returns the provider's index in the route's list.
    pub fn assign_provider(
        &mut self,
        request: &RoutingRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> usize {
        let next = self.rotation.next(request.route, request.weight, rng);
        self.rotation
            .charge(request.route, request.weight, next, rng);
        next
    }

    /// Records a light or medium prompt that was sent. The number of targets reserved for such prompts
    /// depends on it.
    pub fn record_short_prompt(&mut self, now: MonoMs, read_ms: f64) {
        self.reserve.record(now, read_ms);
    }

    /// Fills [`Self::scores`] with the targets that can take the work now, and returns their number.
    /// Targets that the request avoids score worst. Sets `too_long` if the prompt exceeds a target's memory.
    fn score_usable(
        &mut self,
        context: &RoutingContext<'_>,
        request: &RoutingRequest<'_>,
        list: &[Candidate],
        too_long: &mut bool,
    ) -> usize {
        self.scores.clear();
        let tokens = tokens_of(request.work);
        for candidate in list {
            let state = context.targets.at(candidate.index);
            if !state.accepts_work() {
                continue;
            }
            if candidate.memory_tokens < tokens {
                *too_long = true;
                continue;
            }
            let name = || context.targets.name_at(candidate.index);
            let avoided = !request.avoided.is_empty() && request.avoided.contains(name());
            let shared = request.alone && state.in_flight > 0;
            let penalty = penalty_ms(avoided, shared);
            let score = wait_ms(context.now, state, request) + read_ms(state, request) + penalty;
            self.scores.push((candidate.index, score));
        }
        self.scores.len()
    }

    /// Picks one of the best targets at random, so that daemons that choose at the same time don't all
    /// choose the same one. Returns its index in [`Targets`].
    fn pick_near_best(&mut self, rng: &mut fastrand::Rng) -> usize {
        let best = self.scores.iter().map(|(_, score)| *score);
        let limit = best.fold(f64::INFINITY, f64::min) + TIE_MARGIN_MS;
        let near = |(_, score): &&(usize, f64)| *score <= limit;
        let count = self.scores.iter().filter(near).count();
        let pick = rng.usize(0..count.max(1));
        let chosen = self.scores.iter().filter(near).nth(pick);
        chosen.map_or(self.scores[0].0, |(index, _)| *index)
    }
}

/// Returns the penalty of a target apart from its load: because the request avoids it, or because a request
/// that may crash it would take the other requests there down too.
fn penalty_ms(avoided: bool, shared: bool) -> f64 {
    let for_avoided = if avoided { AVOIDED_PENALTY_MS } else { 0.0 };
    let for_shared = if shared { SHARED_PENALTY_MS } else { 0.0 };
    for_avoided + for_shared
}

/// Returns the choice of a target with its predicted times, for a prompt that `engines` engines
/// prefill together.
pub fn predict_choice(
    now: MonoMs,
    state: &TargetState,
    request: &RoutingRequest<'_>,
    target: &TargetName,
    engines: usize,
) -> Choice {
    Choice {
        target: target.clone(),
        wait_ms: wait_ms(now, state, request),
        read_ms: state.cost.read_ms(0, request.prompt_tokens(), engines),
    }
}

/// Returns the predicted time until a target starts on a prompt, in ms. The prompt waits for those that are at
/// least as urgent, and for the current step of a less urgent one. If the target lacks memory for it,
/// it waits for all prompts.
fn wait_ms(now: MonoMs, state: &TargetState, request: &RoutingRequest<'_>) -> f64 {
    let left = state.load.remaining(now);
    let running_ms = f64::from(state.load.running()) * WAIT_PER_RUNNING_MS;
    let parts = [
        (Weight::Light, left.light_ms),
        (Weight::Medium, left.medium_ms),
        (Weight::Long, left.long_ms + state.load.queued_ms(now)),
    ];
    let own = request.priorities.at(request.weight);
    let waits_for = |weight: Weight| {
        state.load.free_tokens() < tokens_of(request.work) || request.priorities.at(weight) <= own
    };
    let before_ms: f64 = parts
        .iter()
        .filter(|(w, _)| waits_for(*w))
        .map(|(_, ms)| ms)
        .sum();
    let runs_less_urgent = parts.iter().any(|(w, ms)| !waits_for(*w) && *ms > 0.0);
    let step_ms = if runs_less_urgent {
        CURRENT_STEP_MS
    } else {
        0.0
    };
    running_ms + before_ms + step_ms
}

/// Returns the extra wait that a light or medium prompt accepts before it goes to a target for long prompts,
/// in ms.
fn spill_ms(context: &RoutingContext<'_>, request: &RoutingRequest<'_>) -> f64 {
    let policy = context.in_force.policy();
    let weights = policy.long_first_token_weight + policy.short_slowdown_weight;
    let long = policy.long_first_token_weight / weights.max(f64::MIN_POSITIVE);
    match request.weight {
        Weight::Light => SPILL_LIGHT_MS * long,
        Weight::Medium => SPILL_MEDIUM_MS * long,
        Weight::Long => 0.0,
    }
}

fn read_ms(state: &TargetState, request: &RoutingRequest<'_>) -> f64 {
    state.cost.read_ms(0, request.prompt_tokens(), 1)
}

/// Iterates over the provider at index `first`, then over the others in the order of the record.
fn in_order(
    shares: &[ProviderShare],
    first: usize,
) -> impl Iterator<Item = (usize, &ProviderShare)> {
    let others = shares
        .iter()
        .enumerate()
        .filter(move |(index, _)| *index != first);
    shares
        .get(first)
        .map(|share| (first, share))
        .into_iter()
        .chain(others)
}
