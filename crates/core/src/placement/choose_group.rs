use {
    crate::{
        fleet::TargetState,
        routing::{AVOIDED_PENALTY_MS, Candidate, RoutingContext, RoutingRequest, tokens_of},
        time::MonoMs,
    },
    thiserror::Error,
    whinlatch_wire::ids::{AttemptId, TargetName},
};

/// Maximum share of an engine's memory that a group takes, in thousandths. The rest is left for light
/// prompts, which would otherwise wait until the group is done.
const MAX_MEMORY_PER_MILLE: u64 = 940;
/// Engines beyond the minimum that a prompt may use if it can then start immediately on smaller parts.
const MAX_EXTRA_ENGINES: usize = 2;
/// A long prompt is sent once the work queued before it at its engines is below this, in ms. If it
/// were sent earlier, it would hold memory while it waits.
const START_THRESHOLD_MS: f64 = 300.0;
/// Penalty on an engine that appears to lack memory for its part, in ms.
const NO_MEMORY_PENALTY_MS: f64 = 2_000.0;
/// Maximum random time added to an engine's predicted time, in ms, so that daemons that choose at the same time
/// don't all choose the same idle engines.
const JITTER_MS: f64 = 50.0;

/// Reason for which no group can be formed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum GroupError {
    /// The memory of all engines together is too small for the prompt.
    #[error("the prompt is longer than all engines together hold: shorten it")]
    TooLong,
    /// Too few of the engines that could hold the prompt are live.
    #[error("too few of the engines that could hold the prompt are live")]
    NoneLive,
}

/// Engines chosen for a prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct ChosenGroup {
    /// The engines, sorted by name.
    pub targets: Vec<TargetName>,
    /// Memory that each engine reserves, in tokens.
    pub part_tokens: u64,
    /// Whether the prompt can start immediately according to the last load reports.
    pub starts_now: bool,
    /// Predicted time until the last of the engines is free, in ms.
    pub wait_ms: f64,
    /// Predicted prefill time of the prompt, in ms.
    pub read_ms: f64,
}

/// A prompt that waits for engines.
#[derive(Debug, Clone, Copy)]
pub struct WaitingPrompt {
    /// Time by which it is ranked among the waiting prompts, earliest first.
    pub since: MonoMs,
    /// Id under which it is queued at the engines.
    pub queue_id: AttemptId,
}

/// An engine that may join a group, with its memory and predicted times.
struct Engine<'a> {
    target: &'a TargetName,
    state: &'a TargetState,
    memory_tokens: u64,
    free_tokens: u64,
    queued_ms: f64,
    cost_ms: f64,
}

/// Chooses the engines that finish the long prompts queued before this one first: as few as possible
/// on which it can start immediately, or else as few as can hold it.
///
/// # Errors
/// [`GroupError`] if there aren't enough engines.
pub fn choose_group(
    context: &RoutingContext<'_>,
    request: &RoutingRequest<'_>,
    waiting: WaitingPrompt,
    usable: &[Candidate],
    rng: &mut fastrand::Rng,
) -> Result<ChosenGroup, GroupError> {
    let tokens = tokens_of(request.work);
    let min_count = min_engines(usable, tokens).ok_or(GroupError::TooLong)?;
    let mut engines: Vec<Engine<'_>> = usable
        .iter()
        .map(|candidate| engine(context, request, waiting, candidate, rng))
        .collect();
    engines.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
    let max_count = (min_count + MAX_EXTRA_ENGINES).min(engines.len());
    let immediate = (min_count..=max_count).find_map(|count| {
        let part_tokens = tokens.div_ceil(count as u64);
        let ready =
            |e: &&Engine<'_>| e.queued_ms <= START_THRESHOLD_MS && e.free_tokens >= part_tokens;
        let chosen: Vec<&Engine<'_>> = engines.iter().filter(ready).take(count).collect();
        (chosen.len() == count).then(|| chosen_group(request, &chosen, part_tokens, true))
    });
    if let Some(group) = immediate {
        return Ok(group);
    }
    let part_tokens = tokens.div_ceil(min_count as u64);
    let cost_with_memory_ms = |e: &Engine<'_>| {
        let lacks_memory = e.free_tokens < part_tokens;
        e.cost_ms
            + if lacks_memory {
                NO_MEMORY_PENALTY_MS
            } else {
                0.0
            }
    };
    engines.retain(|e| e.memory_tokens >= part_tokens);
    engines.sort_by(|a, b| cost_with_memory_ms(a).total_cmp(&cost_with_memory_ms(b)));
    let chosen: Vec<&Engine<'_>> = engines.iter().take(min_count).collect();
    if chosen.len() < min_count {
        return Err(GroupError::NoneLive);
    }
    Ok(chosen_group(request, &chosen, part_tokens, false))
}

fn chosen_group(
    request: &RoutingRequest<'_>,
    engines: &[&Engine<'_>],
    part_tokens: u64,
    starts_now: bool,
) -> ChosenGroup {
    let count = engines.len();
    let read_ms = |e: &&Engine<'_>| e.state.cost.read_ms(0, request.prompt_tokens(), count);
    let mut targets: Vec<TargetName> = engines.iter().map(|e| e.target.clone()).collect();
    targets.sort();
    ChosenGroup {
        targets,
        part_tokens,
        starts_now,
        wait_ms: engines.iter().map(|e| e.queued_ms).fold(0.0, f64::max),
        read_ms: engines.iter().map(read_ms).fold(0.0, f64::max),
    }
}

fn engine<'a>(
    context: &RoutingContext<'a>,
    request: &RoutingRequest<'_>,
    waiting: WaitingPrompt,
    candidate: &Candidate,
    rng: &mut fastrand::Rng,
) -> Engine<'a> {
    let state = context.targets.at(candidate.index);
    let target = context.targets.name_at(candidate.index);
    let left = state.load.remaining(context.now);
    let queued_ahead_ms = state
        .load
        .queued_ahead_ms(context.now, waiting.since, waiting.queue_id);
    let queued_ms = left.long_ms + queued_ahead_ms;
    let read_ms = state.cost.read_ms(0, request.prompt_tokens(), 1);
    // While it helps another engine, an engine prefills at half its speed until one of the two is done.
    let helping_ms = left.helping_ms.min(read_ms);
    let others_ms = left.light_ms + left.medium_ms + rng.f64() * JITTER_MS;
    let avoided = !request.avoided.is_empty() && request.avoided.contains(target);
    let avoided_ms = if avoided { AVOIDED_PENALTY_MS } else { 0.0 };
    Engine {
        target,
        state,
        memory_tokens: candidate.memory_tokens,
        free_tokens: state.load.free_tokens(),
        queued_ms,
        cost_ms: queued_ms + helping_ms + others_ms + avoided_ms,
    }
}

/// Minimum number of engines that hold the prompt, each with some memory left for other prompts, or
/// with full memory if there are too few engines for that. `None` if all engines together can't hold
/// it.
fn min_engines(list: &[Candidate], tokens: u64) -> Option<usize> {
    let largest = list.iter().map(|candidate| candidate.memory_tokens).max()?;
    let engines = |memory_tokens: u64| tokens.div_ceil(memory_tokens.max(1)) as usize;
    let with_reserve = engines(largest * MAX_MEMORY_PER_MILLE / 1_000);
    let with_full_memory = engines(largest);
    [with_reserve, with_full_memory]
        .into_iter()
        .find(|count| *count <= list.len())
}
