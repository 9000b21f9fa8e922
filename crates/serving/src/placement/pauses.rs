//! What streams lose by pauses: an engine that writes reads all that waits beside their next events.

use {
    super::{lateness, setting::Setting, share::OwnPart, value::LATE_LOSS},
    crate::{
        engines::{EngineLoad, Part},
        mechanism::Mechanism,
    },
};

/// What the streams that an engine writes lose by longer pauses if it reads one more part.
pub fn writers_loss(setting: Setting<'_>, load: &EngineLoad, part: OwnPart) -> f64 {
    let base_ms = load.base_ms(setting.spec);
    let room_tokens = setting.spec.pass_read_tokens() as f64;
    let (tokens, waiting_ms) = load.waiting_tokens();
    let in_one_pass = |tokens: f64, ms: f64| ms * (room_tokens / tokens.max(1.0)).min(1.0);
    let part_ms = part.ms * load.pace;
    let before_ms = base_ms + in_one_pass(tokens, waiting_ms);
    let after_ms = base_ms + in_one_pass(tokens + part.tokens, waiting_ms + part_ms);
    load.writers
        .iter()
        .filter(|writer| !writer.is_late)
        .map(|writer| {
            let before = lateness(before_ms, writer.pause_limit_ms);
            let after = lateness(after_ms, writer.pause_limit_ms);
            writer.value * (after - before)
        })
        .sum()
}

/// What the prompts that an engine is to answer, and that have yet to begin, lose by longer first
/// pauses if it reads one more part: what it has still to read when a first event comes is read beside
/// the next one.
///
/// The load that this answers: bursts of long prompts, each read by many engines. The engine that
/// answers is through with its part long before the others, looks idle, and is given parts of the
/// next prompts; these pause the answer for seconds once it begins.
pub fn first_pauses_loss(
    setting: Setting<'_>,
    load: &EngineLoad,
    part: OwnPart,
    goes_first: bool,
) -> f64 {
    if !setting.shape.without.has(Mechanism::FirstPauses) {
        return 0.0;
    }
    (0..load.parts.len())
        .filter(|place| !load.parts[*place].is_helper)
        .map(|place| first_pause_loss(setting, load, place, part, goes_first))
        .sum()
}

fn first_pause_loss(
    setting: Setting<'_>,
    load: &EngineLoad,
    place: usize,
    part: OwnPart,
    goes_first: bool,
) -> f64 {
    let waiting = &load.parts[place];
    let part_ms = part.ms * load.pace;
    let (tokens, waiting_ms) = load.waiting_tokens();
    let expected_ms = waiting.begins_at.since(setting.now) as f64;
    let read_ms = own_read_ms(load, place, waiting);
    let is_delayed = waiting.left_ms > 0.0 && goes_first;
    let delay_ms = if is_delayed { part_ms } else { 0.0 };
    let before_ms = (waiting_ms - expected_ms.max(read_ms)).max(0.0);
    let after_ms = (waiting_ms + part_ms - expected_ms.max(read_ms + delay_ms)).max(0.0);
    let token_ms = (waiting_ms + part_ms) / (tokens + part.tokens).max(1.0);
    let most_ms = setting.spec.pass_read_tokens() as f64 * token_ms;
    let late = |unread_ms: f64| {
        let pause_ms = load.base_ms(setting.spec) + unread_ms.min(most_ms);
        lateness(pause_ms, waiting.pause_limit_ms)
    };
    waiting.value * (late(after_ms) - late(before_ms))
}

/// Time until an engine has read its own part of a prompt that it is to answer, in ms.
fn own_read_ms(load: &EngineLoad, place: usize, part: &Part) -> f64 {
    if part.left_ms <= 0.0 {
        return 0.0;
    }
    load.ends_in_ms(place)
}

/// What a prompt loses by its own first pause: what its engine has still to read for others when
/// its first event comes is read beside its next one.
///
/// The load that this answers: bursts of long prompts, whose parts are read newest first. A prompt
/// that comes in time overtakes older parts, and is paused by them for seconds.
pub fn own_pause_loss(
    setting: Setting<'_>,
    load: &EngineLoad,
    part: OwnPart,
    finish_ms: f64,
) -> f64 {
    let Setting { spec, shape, .. } = setting;
    let (tokens, waiting_ms) = load.waiting_tokens();
    if waiting_ms <= 0.0 || !shape.without.has(Mechanism::OwnPause) {
        return 0.0;
    }
    let room_tokens = spec.pass_read_tokens() as f64;
    let left = if load.writers.is_empty() {
        let part_ms = part.ms * load.pace;
        ((waiting_ms + part_ms - finish_ms) / waiting_ms).clamp(0.0, 1.0)
    } else {
        (1.0 - (room_tokens - part.tokens).max(0.0) / tokens.max(1.0)).max(0.0)
    };
    let read_ms = left * waiting_ms * (room_tokens / (left * tokens).max(1.0)).min(1.0);
    let pause_ms = load.base_ms(spec) + read_ms;
    LATE_LOSS * setting.value() * lateness(pause_ms, shape.pause_limit_ms)
}
