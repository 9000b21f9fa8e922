//! Loss by the choice of the engine that answers: its stream next to what is read and written there.

use {
    super::{PromptShape, placement_context::PlacementContext, value_of},
    crate::{engines::EngineLoad, mechanism::Mechanism},
};

/// Longest pause limit that counts as short, in ms: a part of a long prompt that is read in the same pass
/// makes such a stream late.
const SHORT_PAUSE_MS: f64 = 400.0;
/// Longest pause limit that counts as medium, in ms: two parts of long prompts in one pass take longer.
const MEDIUM_PAUSE_MS: f64 = 800.0;
/// Share of its value that a stream with a medium pause limit loses on an engine that reads long prompts,
/// at full utilization.
const EXPOSURE_LOSS: f64 = 0.4;
/// Loss for the first stream with a short limit on an engine that has none: engines without such streams
/// are kept for long prompts.
const OPENING_LOSS: f64 = 0.3;
/// Gain per stream with a short limit that an engine already has. Such streams are packed, so that an
/// engine's last one ends soon after the load falls and the engine is free for long prompts.
const PACKING_GAIN: f64 = 0.004;
/// Slots of an engine that are left for prompts that other instances place at the same time.
const SPARE_SLOTS: usize = 2;
/// Loss for taking one of the spare slots: a prompt without a slot waits for the end of a stream, which
/// takes up all its slack.
const SPARE_SLOT_LOSS: f64 = 0.25;

/// Returns whether an engine has a slot and enough memory to answer a prompt.
pub fn can_answer(context: PlacementContext<'_>, load: &EngineLoad) -> bool {
    let PlacementContext { spec, shape, .. } = context;
    let tokens = match shape.reserved {
        Some(_) => 0,
        None => shape.prompt_tokens + u64::from(shape.answer_tokens),
    };
    load.running() < spec.slots as usize && load.used_tokens() + tokens <= spec.memory_tokens
}

/// Returns the loss of a stream with a medium pause limit on an engine that reads long prompts.
///
/// In bursts of long prompts, two parts in one pass pause such a stream for too long. Engines that write
/// streams with short limits get none of these parts.
fn exposure_loss(shape: &PromptShape, has_short_streams: bool) -> f64 {
    if !shape.mechanisms.is_enabled(Mechanism::Exposure) {
        return 0.0;
    }
    if has_short_streams || shape.pause_limit_ms > MEDIUM_PAUSE_MS {
        return 0.0;
    }
    EXPOSURE_LOSS * shape.utilization * value_of(shape.prompt_tokens)
}

/// Returns the loss by writing the answer on an engine: long parts in the passes of a stream with a medium
/// pause limit, an engine that is no longer free for long prompts, or one of the last slots.
pub fn answer_loss(context: PlacementContext<'_>, load: &EngineLoad) -> f64 {
    let PlacementContext { spec, shape, .. } = context;
    let is_short = |limit_ms: f64| limit_ms <= SHORT_PAUSE_MS;
    let written = load.streams.iter().map(|stream| stream.pause_limit_ms);
    let unread = load
        .parts
        .iter()
        .filter(|part| !part.is_helper)
        .map(|part| part.pause_limit_ms);
    let short = written
        .chain(unread)
        .filter(|limit| is_short(*limit))
        .count();
    if !is_short(shape.pause_limit_ms) {
        return exposure_loss(shape, short > 0);
    }
    if !shape.mechanisms.is_enabled(Mechanism::Packing) {
        return 0.0;
    }
    if short == 0 {
        return OPENING_LOSS;
    }
    let slots = spec.slots as usize;
    if load.running() + SPARE_SLOTS >= slots {
        return SPARE_SLOT_LOSS;
    }
    PACKING_GAIN * (slots - short) as f64
}
