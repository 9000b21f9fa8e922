use {
    crate::{
        fleet::TargetState,
        routing::{Ask, Candidate, Scene, tokens_of},
        time::MonoMs,
    },
    thiserror::Error,
    whinlatch_wire::ids::{AttemptId, TargetName},
};

/// Part of an engine's memory that a group takes at most, in thousandths, so that light prompts don't
/// have to wait until it is through.
const USE_PER_MILLE: u64 = 940;
/// Engines that a prompt may take beyond the fewest, if it can start at once on so many smaller parts.
const MOST_EXTRA: usize = 2;
/// A long prompt is sent once no more than this is left of those before it at its engines, in ms.
/// Earlier, and it would hold memory while it waits.
const START_MS: f64 = 300.0;
/// What is put on top of an engine's time if it seems to have no memory for its part, in ms.
const NO_MEMORY_MS: f64 = 2_000.0;
/// Random part of an engine's time, in ms, so that daemons that choose at once don't all choose the
/// same idle ones.
const JITTER_MS: f64 = 50.0;

/// Why there is no group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoGroup {
    /// All engines together can't hold the prompt.
    #[error("the prompt is longer than all engines together hold: shorten it")]
    TooLong,
    /// Too many of the engines that could hold it are away.
    #[error("too few of the engines that could hold the prompt are live")]
    NoneLive,
}

/// Engines for a prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct ChosenGroup {
    /// The engines in the order of their names.
    pub targets: Vec<TargetName>,
    /// Tokens that each sets aside.
    pub part_tokens: u64,
    /// Whether the prompt can start at once, as far as is known.
    pub now: bool,
    /// Predicted time until the last of them is free, in ms.
    pub wait_ms: f64,
    /// Predicted time to read the prompt, in ms.
    pub read_ms: f64,
}

/// A request that waits for engines.
#[derive(Debug, Clone, Copy)]
pub struct Waiter {
    /// When it was taken in.
    pub since: MonoMs,
    /// Names its claim.
    pub claim: AttemptId,
}

/// An engine that may take part.
struct Engine<'a> {
    target: &'a TargetName,
    state: &'a TargetState,
    memory_tokens: u64,
    free_tokens: u64,
    before_ms: f64,
    order_ms: f64,
}

/// Chooses engines for a prompt, those that are the first to be through with the long prompts that go
/// before it: the fewest on which it can start at once, else the fewest that hold it.
///
/// # Errors
/// [`NoGroup`] if there aren't enough engines.
pub fn choose_group(
    scene: &Scene<'_>,
    ask: &Ask<'_>,
    waiter: Waiter,
    usable: &[Candidate],
    rng: &mut fastrand::Rng,
) -> Result<ChosenGroup, NoGroup> {
    let tokens = tokens_of(ask.work);
    let fewest = fewest(usable, tokens).ok_or(NoGroup::TooLong)?;
    let mut engines: Vec<Engine<'_>> = usable
        .iter()
        .map(|candidate| engine(scene, ask, waiter, candidate, rng))
        .collect();
    engines.sort_by(|a, b| a.order_ms.total_cmp(&b.order_ms));
    let most = (fewest + MOST_EXTRA).min(engines.len());
    let at_once = (fewest..=most).find_map(|count| {
        let part_tokens = tokens.div_ceil(count as u64);
        let ready = |e: &&Engine<'_>| e.before_ms <= START_MS && e.free_tokens >= part_tokens;
        let chosen: Vec<&Engine<'_>> = engines.iter().filter(ready).take(count).collect();
        (chosen.len() == count).then(|| chosen_group(ask, &chosen, part_tokens, true))
    });
    if let Some(group) = at_once {
        return Ok(group);
    }
    let part_tokens = tokens.div_ceil(fewest as u64);
    let memory_ms = |e: &Engine<'_>| {
        let short = e.free_tokens < part_tokens;
        e.order_ms + if short { NO_MEMORY_MS } else { 0.0 }
    };
    engines.retain(|e| e.memory_tokens >= part_tokens);
    engines.sort_by(|a, b| memory_ms(a).total_cmp(&memory_ms(b)));
    let chosen: Vec<&Engine<'_>> = engines.iter().take(fewest).collect();
    if chosen.len() < fewest {
        return Err(NoGroup::NoneLive);
    }
    Ok(chosen_group(ask, &chosen, part_tokens, false))
}

fn chosen_group(
    ask: &Ask<'_>,
    engines: &[&Engine<'_>],
    part_tokens: u64,
    now: bool,
) -> ChosenGroup {
    let count = engines.len();
    let read_ms = |e: &&Engine<'_>| e.state.cost.read_ms(0, ask.prompt_tokens(), count);
    let mut targets: Vec<TargetName> = engines.iter().map(|e| e.target.clone()).collect();
    targets.sort();
    ChosenGroup {
        targets,
        part_tokens,
        now,
        wait_ms: engines.iter().map(|e| e.before_ms).fold(0.0, f64::max),
        read_ms: engines.iter().map(read_ms).fold(0.0, f64::max),
    }
}

fn engine<'a>(
    scene: &Scene<'a>,
    ask: &Ask<'_>,
    waiter: Waiter,
    candidate: &Candidate,
    rng: &mut fastrand::Rng,
) -> Engine<'a> {
    let state = scene.targets.at(candidate.place);
    let target = scene.targets.name_at(candidate.place);
    let left = state.load.remaining(scene.now);
    let claimed_ms = state
        .load
        .queued_ahead_ms(scene.now, waiter.since, waiter.claim);
    let before_ms = left.long_ms + claimed_ms;
    let read_ms = state.cost.read_ms(0, ask.prompt_tokens(), 1);
    // Beside its help for others an engine reads at half its speed, until either is done.
    let helping_ms = left.helping_ms.min(read_ms);
    let others_ms = left.light_ms + left.medium_ms + rng.f64() * JITTER_MS;
    let tried = !ask.tried.is_empty() && ask.tried.contains(target);
    let tried_ms = if tried { 1e9 } else { 0.0 };
    Engine {
        target,
        state,
        memory_tokens: candidate.memory_tokens,
        free_tokens: state.load.free_tokens(),
        before_ms,
        order_ms: before_ms + helping_ms + others_ms + tried_ms,
    }
}

/// The fewest engines that hold the prompt, each with some memory left, or without if there are no
/// more. `None` if not even all of them do.
fn fewest(list: &[Candidate], tokens: u64) -> Option<usize> {
    let largest = list.iter().map(|candidate| candidate.memory_tokens).max()?;
    let engines = |memory_tokens: u64| tokens.div_ceil(memory_tokens.max(1)) as usize;
    let leaving = engines(largest * USE_PER_MILLE / 1_000);
    let filling = engines(largest);
    [leaving, filling]
        .into_iter()
        .find(|count| *count <= list.len())
}
