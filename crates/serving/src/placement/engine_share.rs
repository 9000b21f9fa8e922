//! Cost of one part of a prompt to the prompts and streams that are in flight on its engine.

use {
    super::{
        lateness,
        pause_loss::{first_pauses_loss, streams_pause_loss},
        placement_context::PlacementContext,
    },
    crate::{engines::EngineLoad, fleet::JobId, mechanism::Mechanism},
};

/// Minimum reading time of a whole prompt, in ms, for which memory is reserved at the engine that answers,
/// so that it reads its part ahead of others. A reservation takes at least two calls of the engine; shorter
/// prompts are read within a pass or two regardless of their position in the queue.
const MIN_PRIORITIZED_READ_MS: f64 = 150.0;
/// Network time of a request and its first event together, in ms.
const NETWORK_MS: f64 = 8.0;

/// The part of a prompt that each of its engines reads; all parts are equal.
#[derive(Debug, Clone, Copy)]
pub struct SplitPart {
    /// Reading time at the published speed, in ms.
    pub ms: f64,
    /// Length of the part; not a whole number.
    pub tokens: f64,
    /// Whether the engine that answers reads its part ahead of others. Helpers always do.
    pub is_prioritized: bool,
}

impl SplitPart {
    /// Returns one of `degree` parts of the prompt.
    pub fn new(context: PlacementContext<'_>, degree: usize) -> Self {
        let PlacementContext { spec, shape, .. } = context;
        Self {
            ms: spec.part_ms(shape.prompt_tokens, degree),
            tokens: shape.prompt_tokens as f64 / degree as f64,
            is_prioritized: degree > 1
                && spec.read_ms(shape.prompt_tokens) >= MIN_PRIORITIZED_READ_MS
                && shape.mechanisms.is_enabled(Mechanism::FirstPlaces),
        }
    }
}

/// Loss of a waiting prompt by the delay of its part on one engine.
#[derive(Debug, Clone, Copy)]
struct Delay {
    job: JobId,
    loss: f64,
}

/// An engine's share of a prompt, with the predicted cost of reading it there.
#[derive(Debug, Clone)]
pub struct EngineShare {
    /// Index of the engine among the candidates.
    pub index: usize,
    /// Time at which the part has been read, in ms from the choice, network time included.
    pub finish_ms: f64,
    /// Loss of streams by longer pauses, and of others by the choice of an engine that is kept for them.
    pub stream_loss: f64,
    delays: Vec<Delay>,
}

impl EngineShare {
    /// Returns the loss of other streams and prompts by this part alone.
    pub fn cost_to_others(&self) -> f64 {
        self.stream_loss + self.delays.iter().map(|delay| delay.loss).sum::<f64>()
    }
}

/// Returns the loss of others by all parts together. A prompt has been read when the last of its parts
/// has, so it counts with its most delayed part and not with the sum. If each part counted with only a
/// share of the loss, newer prompts on some of its engines would delay it by seconds.
pub fn combined_cost(shares: &[&EngineShare]) -> f64 {
    let stream_loss: f64 = shares.iter().map(|share| share.stream_loss).sum();
    let mut delays: Vec<Delay> = shares
        .iter()
        .flat_map(|share| share.delays.iter().copied())
        .collect();
    delays.sort_unstable_by_key(|delay| delay.job);
    let jobs = delays.chunk_by(|left, right| left.job == right.job);
    let delay_loss: f64 = jobs
        .map(|same| same.iter().map(|delay| delay.loss).fold(0.0, f64::max))
        .sum();
    stream_loss + delay_loss
}

/// Predicts when an engine has read a part, and the cost to the streams and prompts that are on it. `index`
/// is that of the engine among the candidates.
pub fn engine_share(
    context: PlacementContext<'_>,
    load: &EngineLoad,
    index: usize,
    part: SplitPart,
    is_prioritized: bool,
) -> EngineShare {
    let part_ms = part.ms * load.pace;
    let stream_loss = streams_pause_loss(context, load, part)
        + first_pauses_loss(context, load, part, is_prioritized);
    let delays = (0..load.parts.len())
        .map(|waiting| Delay {
            job: load.parts[waiting].job,
            loss: delay_loss(context, load, waiting, part_ms, is_prioritized),
        })
        .filter(|delay| delay.loss > 0.0)
        .collect();
    EngineShare {
        index,
        finish_ms: finish_ms(context, load, part, is_prioritized) + NETWORK_MS,
        stream_loss,
        delays,
    }
}

/// Returns the time until an engine has read a part that arrives now, in ms.
fn finish_ms(
    context: PlacementContext<'_>,
    load: &EngineLoad,
    part: SplitPart,
    is_prioritized: bool,
) -> f64 {
    let part_ms = part.ms * load.pace;
    if load.streams.is_empty() {
        return load.queue_ms(is_prioritized) + part_ms;
    }
    let (tokens, waiting_ms) = load.waiting_tokens();
    let capacity_tokens = context.spec.pass_read_tokens() as f64;
    let ahead_tokens = if is_prioritized { 0.0 } else { tokens };
    let passes = ((ahead_tokens + part.tokens) / capacity_tokens)
        .ceil()
        .max(1.0);
    let others_ms = if is_prioritized {
        // Waiting parts are read in the capacity that this part leaves in its last pass.
        let left_tokens = passes * capacity_tokens - part.tokens;
        waiting_ms * (left_tokens / tokens.max(1.0)).min(1.0)
    } else {
        waiting_ms
    };
    load.pass_left_ms(context.now) + passes * load.base_ms(context.spec) + others_ms + part_ms
}

/// Returns the loss of a prompt that waits on an engine by a part that arrives now: its first event comes
/// later if the new part is read ahead of it or in the same pass.
fn delay_loss(
    context: PlacementContext<'_>,
    load: &EngineLoad,
    index: usize,
    part_ms: f64,
    is_prioritized: bool,
) -> f64 {
    let now = context.now;
    let waiting = &load.parts[index];
    if waiting.left_ms <= 0.0 {
        return 0.0;
    }
    if is_prioritized || !load.streams.is_empty() {
        let slack_ms = waiting.late_at.since(now) as f64;
        let before_ms = load.pass_left_ms(now) + load.ends_in_ms(index) + NETWORK_MS;
        let before = lateness(before_ms, slack_ms);
        let after = lateness(before_ms + part_ms, slack_ms);
        let risk = context.risk() * (part_ms / slack_ms.max(1.0)).min(1.0);
        return waiting.value * (after - before + risk);
    }
    0.0
}
