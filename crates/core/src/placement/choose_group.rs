use {
    crate::{
        fleet::TargetState,
        routing::{Ask, Candidate, Scene, tokens_of},
        time::MonoMs,
    },
    thiserror::Error,
    whinlatch_wire::ids::{AttemptId, TargetName},
};

/// Part of an engine's memory that a group leaves to others, so that light prompts don't have to wait
/// until the group is through.
const LEAVE_PART: u64 = 16;
/// What is put on top of an engine's time if it seems to have no memory for its part, in ms: the
/// answer of the prompt before is still under way.
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
    ahead_ms: f64,
    order_ms: f64,
}

/// Chooses the fewest engines whose memory holds equal parts of the prompt: those that are the first
/// to be through with the long prompts that go before it.
///
/// # Errors
/// [`NoGroup`] if there aren't enough engines.
pub fn choose_group(
    scene: &Scene<'_>,
    ask: &Ask<'_>,
    waiter: Waiter,
    list: &[Candidate],
    rng: &mut fastrand::Rng,
) -> Result<ChosenGroup, NoGroup> {
    let tokens = tokens_of(ask.work);
    let count = fewest(list, tokens).ok_or(NoGroup::TooLong)?;
    let part_tokens = tokens.div_ceil(count as u64);
    let mut engines: Vec<Engine<'_>> = list
        .iter()
        .filter(|candidate| candidate.memory_tokens >= part_tokens)
        .filter_map(|candidate| engine(scene, ask, waiter, candidate, part_tokens, rng))
        .collect();
    if engines.len() < count {
        return Err(NoGroup::NoneLive);
    }
    engines.sort_by(|a, b| a.order_ms.total_cmp(&b.order_ms));
    engines.truncate(count);
    let read_ms = |e: &Engine<'_>| e.state.cost.read_ms(0, ask.prompt_tokens(), count);
    let mut targets: Vec<TargetName> = engines.iter().map(|e| e.target.clone()).collect();
    targets.sort();
    Ok(ChosenGroup {
        targets,
        part_tokens,
        wait_ms: engines.iter().map(|e| e.ahead_ms).fold(0.0, f64::max),
        read_ms: engines.iter().map(read_ms).fold(0.0, f64::max),
    })
}

fn engine<'a>(
    scene: &Scene<'a>,
    ask: &Ask<'_>,
    waiter: Waiter,
    candidate: &Candidate,
    part_tokens: u64,
    rng: &mut fastrand::Rng,
) -> Option<Engine<'a>> {
    let state = scene.targets.at(candidate.place);
    if !state.takes_work() {
        return None;
    }
    let target = scene.targets.name_at(candidate.place);
    let left = state.load.left(scene.now);
    let ahead_ms = state.load.ahead_ms(scene.now, waiter.since, waiter.claim);
    let has_memory = state.load.free_tokens() >= part_tokens;
    let memory_ms = if has_memory { 0.0 } else { NO_MEMORY_MS };
    let others_ms = left.light_ms + left.medium_ms + rng.f64() * JITTER_MS;
    let tried_ms = if ask.tried.contains(target) { 1e9 } else { 0.0 };
    Some(Engine {
        target,
        state,
        ahead_ms,
        order_ms: ahead_ms + memory_ms + others_ms + tried_ms,
    })
}

/// The fewest engines that hold the prompt, each with some memory left, or without if there are no
/// more. `None` if not even all of them do.
fn fewest(list: &[Candidate], tokens: u64) -> Option<usize> {
    let largest = list.iter().map(|candidate| candidate.memory_tokens).max()?;
    let engines = |memory_tokens: u64| tokens.div_ceil(memory_tokens) as usize;
    let leaving = engines(largest - largest / LEAVE_PART);
    let filling = engines(largest);
    [leaving, filling]
        .into_iter()
        .find(|count| *count <= list.len())
}
