use {
    super::{Ask, Candidate, Candidates, FreeShare, NoChoice, Shares, Weight, tokens_of},
    crate::{
        fleet::{TargetState, Targets},
        placement::{ChosenGroup, NoGroup, Waiter, choose_group},
        records::InForce,
        time::MonoMs,
    },
    whinlatch_wire::{ids::TargetName, record::ProviderShare},
};

/// What a prompt waits beside a heavier one at least, in ms: the rest of the step under way.
const BESIDE_MS: f64 = 150.0;
/// What each request at work adds to the wait, in ms.
const RUNNING_MS: f64 = 2.0;
/// What a light prompt rather waits than to go to a target for long ones, in ms, where only the first
/// token of long prompts counts.
const SPILL_LIGHT_MS: f64 = 300.0;
/// The same for a medium prompt.
const SPILL_MEDIUM_MS: f64 = 3_000.0;
/// Choices whose predicted times differ by less than this are held to be equal, in ms.
const NEAR_MS: f64 = 5.0;

/// Puts a target that was tried behind all others, in ms.
const TRIED_MS: f64 = 1e9;
/// Puts a target that runs other requests behind idle ones for a request that may crash it, in ms.
const SHARED_MS: f64 = 1e8;

/// A target that was chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetName,
    /// Predicted time until its turn comes, in ms.
    pub wait_ms: f64,
    /// Predicted time to read the prompt, in ms.
    pub read_ms: f64,
}

/// What a choice rests on beside the request.
#[derive(Debug, Clone, Copy)]
pub struct Scene<'a> {
    /// Now.
    pub now: MonoMs,
    /// The records in force.
    pub in_force: &'a InForce,
    /// The targets.
    pub targets: &'a Targets,
    /// Daemons that are alive, this one among them.
    pub daemons: usize,
}

/// Chooses targets.
#[derive(Debug, Default)]
pub struct Router {
    candidates: Candidates,
    free: FreeShare,
    shares: Shares,
    scores: Vec<(usize, f64)>,
}

impl Router {
    /// Chooses a target for a request.
    ///
    /// # Errors
    /// [`NoChoice`] if no target can take it.
    pub fn choose(
        &mut self,
        scene: &Scene<'_>,
        ask: &Ask<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<Choice, NoChoice> {
        let next = self.shares.next(ask.route, ask.weight, rng);
        let mut too_long = false;
        for (place_of, share) in in_order(&ask.route.providers, next) {
            let list = self
                .candidates
                .of(scene.in_force, scene.targets, ask.work, share);
            let usable = self.usable(scene, ask, &list, &mut too_long);
            if usable == 0 {
                continue;
            }
            let long_zone = usable - self.kept_free(scene, share, usable);
            let spill_ms = spill_ms(scene, ask);
            for (_, score) in &mut self.scores[..long_zone] {
                *score += spill_ms;
            }
            self.shares.used(ask.route, ask.weight, place_of, rng);
            let place = self.near_best(rng);
            let state = scene.targets.at(place);
            let target = scene.targets.name_at(place);
            return Ok(choice(scene.now, state, ask, target, 1));
        }
        Err(if too_long {
            NoChoice::TooLong
        } else {
            NoChoice::NoneLive
        })
    }

    /// Chooses the engines of a long prompt, of the provider that was drawn for it if they suffice.
    ///
    /// # Errors
    /// [`NoGroup`] if no provider has enough engines.
    pub fn choose_group(
        &mut self,
        scene: &Scene<'_>,
        ask: &Ask<'_>,
        waiter: Waiter,
        provider: usize,
        rng: &mut fastrand::Rng,
    ) -> Result<ChosenGroup, NoGroup> {
        let mut verdict = Err(NoGroup::TooLong);
        for (_, share) in in_order(&ask.route.providers, provider) {
            let list = self
                .candidates
                .of(scene.in_force, scene.targets, ask.work, share);
            let usable: Vec<Candidate> = list
                .iter()
                .filter(|candidate| scene.targets.at(candidate.place).accepts_work())
                .copied()
                .collect();
            let kept_free = self.kept_free(scene, share, usable.len());
            let long_zone = &usable[..usable.len() - kept_free];
            let chosen = choose_group(scene, ask, waiter, long_zone, rng)
                .or_else(|_| choose_group(scene, ask, waiter, &usable, rng));
            if chosen.is_ok() {
                return chosen;
            }
            // Engines that are away may come back; only if all of them can't hold it is it too long.
            let memory: u64 = list.iter().map(|candidate| candidate.memory_tokens).sum();
            if memory >= tokens_of(ask.work) {
                verdict = Err(NoGroup::NoneLive);
            }
        }
        verdict
    }

    /// How many of the usable targets of a provider are kept free of long prompts.
    fn kept_free(&self, scene: &Scene<'_>, share: &ProviderShare, usable: usize) -> usize {
        let part = f64::from(share.share_per_mille) / 1_000.0;
        let policy = scene.in_force.policy();
        self.free.targets(policy, usable, scene.daemons, part)
    }

    /// The provider of a long prompt, counted at once.
    pub fn draw_provider(&mut self, ask: &Ask<'_>, rng: &mut fastrand::Rng) -> usize {
        let next = self.shares.next(ask.route, ask.weight, rng);
        self.shares.used(ask.route, ask.weight, next, rng);
        next
    }

    /// Notes a light or medium prompt that is sent, which the share of free targets follows.
    pub fn note_small(&mut self, now: MonoMs, read_ms: f64) {
        self.free.note(now, read_ms);
    }

    /// Scores the targets that can take the work now. Those that were tried come last of all.
    fn usable(
        &mut self,
        scene: &Scene<'_>,
        ask: &Ask<'_>,
        list: &[Candidate],
        too_long: &mut bool,
    ) -> usize {
        self.scores.clear();
        let tokens = tokens_of(ask.work);
        for candidate in list {
            let state = scene.targets.at(candidate.place);
            if !state.accepts_work() {
                continue;
            }
            if candidate.memory_tokens < tokens {
                *too_long = true;
                continue;
            }
            let name = || scene.targets.name_at(candidate.place);
            let tried = !ask.tried.is_empty() && ask.tried.contains(name());
            let shared = ask.alone && state.in_flight > 0;
            let penalty = penalty_ms(tried, shared);
            let score = wait_ms(scene.now, state, ask) + read_ms(state, ask) + penalty;
            self.scores.push((candidate.place, score));
        }
        self.scores.len()
    }

    /// One of the best at random, so that daemons that choose at once don't all choose the same.
    fn near_best(&mut self, rng: &mut fastrand::Rng) -> usize {
        let best = self.scores.iter().map(|(_, score)| *score);
        let limit = best.fold(f64::INFINITY, f64::min) + NEAR_MS;
        let near = |(_, score): &&(usize, f64)| *score <= limit;
        let count = self.scores.iter().filter(near).count();
        let pick = rng.usize(0..count.max(1));
        let chosen = self.scores.iter().filter(near).nth(pick);
        chosen.map_or(self.scores[0].0, |(place, _)| *place)
    }
}

/// What keeps a target back whatever its load: that it was tried, or that a request that may crash
/// it would take others along.
fn penalty_ms(tried: bool, shared: bool) -> f64 {
    let for_tried = if tried { TRIED_MS } else { 0.0 };
    let for_shared = if shared { SHARED_MS } else { 0.0 };
    for_tried + for_shared
}

/// What to expect of a target for a prompt that `engines` read together.
pub fn choice(
    now: MonoMs,
    state: &TargetState,
    ask: &Ask<'_>,
    target: &TargetName,
    engines: usize,
) -> Choice {
    Choice {
        target: target.clone(),
        wait_ms: wait_ms(now, state, ask),
        read_ms: state.cost.read_ms(0, ask.prompt_tokens(), engines),
    }
}

/// Predicted time until a prompt's turn comes, in ms: after those that are as urgent or more, and
/// after the step under way of one that is less. Where there is no memory for it, it waits for all.
fn wait_ms(now: MonoMs, state: &TargetState, ask: &Ask<'_>) -> f64 {
    let left = state.load.remaining(now);
    let running_ms = f64::from(state.load.running()) * RUNNING_MS;
    let parts = [
        (Weight::Light, left.light_ms),
        (Weight::Medium, left.medium_ms),
        (Weight::Long, left.long_ms + state.load.queued_ms(now)),
    ];
    let own = ask.priorities.at(ask.weight);
    let waits_for = |weight: Weight| {
        state.load.free_tokens() < tokens_of(ask.work) || ask.priorities.at(weight) <= own
    };
    let before_ms: f64 = parts
        .iter()
        .filter(|(w, _)| waits_for(*w))
        .map(|(_, ms)| ms)
        .sum();
    let beside = parts.iter().any(|(w, ms)| !waits_for(*w) && *ms > 0.0);
    running_ms + before_ms + if beside { BESIDE_MS } else { 0.0 }
}

/// What a light or medium prompt rather waits than to go to a target for long prompts, in ms.
fn spill_ms(scene: &Scene<'_>, ask: &Ask<'_>) -> f64 {
    let policy = scene.in_force.policy();
    let weights = policy.long_first_token_weight + policy.short_slowdown_weight;
    let long = policy.long_first_token_weight / weights.max(f64::MIN_POSITIVE);
    match ask.weight {
        Weight::Light => SPILL_LIGHT_MS * long,
        Weight::Medium => SPILL_MEDIUM_MS * long,
        Weight::Long => 0.0,
    }
}

fn read_ms(state: &TargetState, ask: &Ask<'_>) -> f64 {
    state.cost.read_ms(0, ask.prompt_tokens(), 1)
}

/// The provider at `first`, then the others in the order of the record.
fn in_order(
    shares: &[ProviderShare],
    first: usize,
) -> impl Iterator<Item = (usize, &ProviderShare)> {
    let others = shares
        .iter()
        .enumerate()
        .filter(move |(place, _)| *place != first);
    shares
        .get(first)
        .map(|share| (first, share))
        .into_iter()
        .chain(others)
}
