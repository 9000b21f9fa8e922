//! Loss of streams by pauses: an engine that writes streams reads waiting parts in the passes that produce
//! their events, and the pauses between the events grow by the reading.

use {
    super::{
        engine_share::SplitPart, lateness, placement_context::PlacementContext, value::LATE_LOSS,
    },
    crate::{
        engines::{EngineLoad, UnreadPart},
        mechanism::Mechanism,
    },
};

/// Returns the loss of the streams that an engine writes by longer pauses if it reads one more part.
pub fn streams_pause_loss(
    context: PlacementContext<'_>,
    load: &EngineLoad,
    part: SplitPart,
) -> f64 {
    let base_ms = load.base_ms(context.spec);
    let capacity_tokens = context.spec.pass_read_tokens() as f64;
    let (tokens, waiting_ms) = load.waiting_tokens();
    let in_one_pass = |tokens: f64, ms: f64| ms * (capacity_tokens / tokens.max(1.0)).min(1.0);
    let part_ms = part.ms * load.pace;
    let before_ms = base_ms + in_one_pass(tokens, waiting_ms);
    let after_ms = base_ms + in_one_pass(tokens + part.tokens, waiting_ms + part_ms);
    load.streams
        .iter()
        .filter(|stream| !stream.is_late)
        .map(|stream| {
            let before = lateness(before_ms, stream.pause_limit_ms);
            let after = lateness(after_ms, stream.pause_limit_ms);
            stream.value * (after - before)
        })
        .sum()
}

/// Returns the loss of the prompts that an engine is to answer, and that haven't had their first event, by a
/// longer first pause if the engine reads one more part: what is unread at the first event is read in the
/// pass of the second one.
///
/// In bursts of long prompts, each read by many engines, the engine that answers may finish its part long
/// before the others. It looks idle and would get parts of the next prompts, which pause its answer for
/// seconds after the first event.
pub fn first_pauses_loss(
    context: PlacementContext<'_>,
    load: &EngineLoad,
    part: SplitPart,
    is_prioritized: bool,
) -> f64 {
    if !context.shape.mechanisms.is_enabled(Mechanism::FirstPauses) {
        return 0.0;
    }
    (0..load.parts.len())
        .filter(|index| !load.parts[*index].is_helper)
        .map(|index| first_pause_loss(context, load, index, part, is_prioritized))
        .sum()
}

fn first_pause_loss(
    context: PlacementContext<'_>,
    load: &EngineLoad,
    index: usize,
    part: SplitPart,
    is_prioritized: bool,
) -> f64 {
    let waiting = &load.parts[index];
    let part_ms = part.ms * load.pace;
    let (tokens, waiting_ms) = load.waiting_tokens();
    let expected_ms = waiting.first_event_at.since(context.now) as f64;
    let read_ms = own_read_ms(load, index, waiting);
    let is_delayed = waiting.left_ms > 0.0 && is_prioritized;
    let delay_ms = if is_delayed { part_ms } else { 0.0 };
    let before_ms = (waiting_ms - expected_ms.max(read_ms)).max(0.0);
    let after_ms = (waiting_ms + part_ms - expected_ms.max(read_ms + delay_ms)).max(0.0);
    let token_ms = (waiting_ms + part_ms) / (tokens + part.tokens).max(1.0);
    let max_read_ms = context.spec.pass_read_tokens() as f64 * token_ms;
    let pause_lateness = |unread_ms: f64| {
        let pause_ms = load.base_ms(context.spec) + unread_ms.min(max_read_ms);
        lateness(pause_ms, waiting.pause_limit_ms)
    };
    waiting.value * (pause_lateness(after_ms) - pause_lateness(before_ms))
}

/// Returns the time until an engine has read its own part of a prompt that it is to answer, in ms.
fn own_read_ms(load: &EngineLoad, index: usize, part: &UnreadPart) -> f64 {
    if part.left_ms <= 0.0 {
        return 0.0;
    }
    load.ends_in_ms(index)
}

/// Returns the loss of a prompt by its own first pause: what its engine still has to read for others at the
/// first event is read in the pass of the second one.
///
/// In bursts of long prompts parts are read newest first: a prompt whose first event is on time has overtaken
/// older parts, which then pause it for seconds.
pub fn own_pause_loss(
    context: PlacementContext<'_>,
    load: &EngineLoad,
    part: SplitPart,
    finish_ms: f64,
) -> f64 {
    let PlacementContext { spec, shape, .. } = context;
    let (tokens, waiting_ms) = load.waiting_tokens();
    if waiting_ms <= 0.0 || !shape.mechanisms.is_enabled(Mechanism::OwnPause) {
        return 0.0;
    }
    let capacity_tokens = spec.pass_read_tokens() as f64;
    let unread_share = if load.streams.is_empty() {
        let part_ms = part.ms * load.pace;
        ((waiting_ms + part_ms - finish_ms) / waiting_ms).clamp(0.0, 1.0)
    } else {
        (1.0 - (capacity_tokens - part.tokens).max(0.0) / tokens.max(1.0)).max(0.0)
    };
    let read_ms =
        unread_share * waiting_ms * (capacity_tokens / (unread_share * tokens).max(1.0)).min(1.0);
    let pause_ms = load.base_ms(spec) + read_ms;
    LATE_LOSS * context.value() * lateness(pause_ms, shape.pause_limit_ms)
}
