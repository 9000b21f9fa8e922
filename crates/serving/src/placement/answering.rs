//! What it costs that one engine answers: its writing beside what others read and write there.

use {
    super::{PromptShape, setting::Setting, value_of},
    crate::{engines::EngineLoad, mechanism::Mechanism},
};

/// Pauses up to this are short, in ms: a stream with such a limit is hurt by a long prompt's part
/// read beside it.
const SHORT_PAUSE_MS: f64 = 400.0;
/// Pauses up to this are middling, in ms: two parts of long prompts in one pass are longer.
const MIDDLING_PAUSE_MS: f64 = 800.0;
/// Share of its value that a stream with a middling pause loses where long prompts are read, while
/// these use up all of the engines' time.
const EXPOSURE: f64 = 0.4;
/// Loss that is charged for the first stream with a short limit on an engine that has none:
/// engines without such streams are kept for long prompts.
const OPENING_LOSS: f64 = 0.3;
/// Gain for each stream with a short limit that an engine has already: such streams are packed, so
/// that the last of an engine's ends soon after the load falls and leaves it to long prompts.
const PACKING_GAIN: f64 = 0.004;
/// Slots of an engine that are left for what other instances place at the same moment.
const SPARE_SLOTS: usize = 2;
/// Loss that is charged for one of those slots: a prompt without a slot waits for the end of a
/// stream, which is its whole time to be on time.
const LAST_SLOT_LOSS: f64 = 0.25;

/// Whether an engine has a slot and memory for a prompt that it answers.
pub fn can_answer(setting: Setting<'_>, load: &EngineLoad) -> bool {
    let Setting { spec, shape, .. } = setting;
    let tokens = match shape.reserved {
        Some(_) => 0,
        None => shape.prompt_tokens + u64::from(shape.answer_tokens),
    };
    load.running() < spec.slots as usize && load.memory_tokens + tokens <= spec.memory_tokens
}

/// What a stream with a middling pause loses by being written where long prompts are read.
///
/// The load that this answers: bursts of long prompts, two of whose parts in one pass are more than
/// such a stream bears. Engines that write short streams are kept free of these parts.
fn exposure_loss(shape: &PromptShape, is_kept_free: bool) -> f64 {
    if !shape.without.has(Mechanism::Exposure) {
        return 0.0;
    }
    if is_kept_free || shape.pause_limit_ms > MIDDLING_PAUSE_MS {
        return 0.0;
    }
    EXPOSURE * shape.used * value_of(shape.prompt_tokens)
}

/// What the engine that answers loses by writing it: the first pause beside what waits there, and
/// an engine that is kept clear of short pauses.
pub fn answer_loss(setting: Setting<'_>, load: &EngineLoad) -> f64 {
    let Setting { spec, shape, .. } = setting;
    let is_short = |limit_ms: f64| limit_ms <= SHORT_PAUSE_MS;
    let writers = load.writers.iter().map(|writer| writer.pause_limit_ms);
    let readers = load
        .parts
        .iter()
        .filter(|part| !part.is_helper)
        .map(|part| part.pause_limit_ms);
    let short = writers
        .chain(readers)
        .filter(|limit| is_short(*limit))
        .count();
    if !is_short(shape.pause_limit_ms) {
        return exposure_loss(shape, short > 0);
    }
    if !shape.without.has(Mechanism::Packing) {
        return 0.0;
    }
    if short == 0 {
        return OPENING_LOSS;
    }
    let slots = spec.slots as usize;
    if load.running() + SPARE_SLOTS >= slots {
        return LAST_SLOT_LOSS;
    }
    PACKING_GAIN * (slots - short) as f64
}
