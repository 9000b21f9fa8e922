//! What one part of a prompt costs those that are at work on its engine.

use {
    super::{PromptShape, lateness, value_of},
    crate::{catalog::EngineSpec, engines::EngineLoad, fleet::JobId, mechanism::Mechanism},
    whinlatch_core::MonoMs,
};

/// Reading of a whole prompt from which the engine that answers is asked for a place for its part, in
/// ms. It takes two orders and more, which are priced; shorter prompts are read within a pass or two
/// whatever their place.
const PLACE_FROM_MS: f64 = 150.0;
/// Share of its value that an answer loses, on its way to being late, by what can't be foreseen:
/// a prompt that comes later and is read ahead, an engine that is slower than it was.
const RISK: f64 = 0.15;
/// Time for a request and its first event to cross the network, in ms.
const CROSSING_MS: f64 = 8.0;

/// What is the same for all engines in a choice.
#[derive(Debug, Clone, Copy)]
pub struct Setting<'a> {
    /// The moment of the choice.
    pub now: MonoMs,
    /// What is published of the engines.
    pub spec: &'a EngineSpec,
    /// What is asked of them.
    pub shape: &'a PromptShape,
}

impl Setting<'_> {
    /// What a prompt loses by an engine that failed others of late.
    ///
    /// Guards against an engine that says that it is well and fails what it gets: it is always idle, so
    /// that it would be the best place for each prompt in turn. Being a loss beside others it only moves
    /// prompts to better engines, and none is refused where all engines fail some.
    pub fn failed_loss(self, load: &EngineLoad) -> f64 {
        if !self.shape.without.has(Mechanism::Failures) {
            return 0.0;
        }
        value_of(self.shape.prompt_tokens) * load.failures.at(self.now)
    }

    /// Share of its value by which what is likely to be in time counts as less than what is sure to be.
    pub fn risk(self) -> f64 {
        if self.shape.without.has(Mechanism::Risk) {
            RISK
        } else {
            0.0
        }
    }
}

/// The part that each engine would read.
#[derive(Debug, Clone, Copy)]
pub struct OwnPart {
    /// Time to read it at an engine that is as fast as published, in ms.
    pub ms: f64,
    /// Its tokens.
    pub tokens: f64,
    /// Whether the engine that answers reads it ahead of others.
    pub goes_first: bool,
}

impl OwnPart {
    /// One of so many parts.
    pub fn new(setting: Setting<'_>, degree: usize) -> Self {
        let Setting { spec, shape, .. } = setting;
        Self {
            ms: spec.part_ms(shape.prompt_tokens, degree),
            tokens: shape.prompt_tokens as f64 / degree as f64,
            goes_first: degree > 1
                && spec.read_ms(shape.prompt_tokens) >= PLACE_FROM_MS
                && shape.without.has(Mechanism::FirstPlaces),
        }
    }
}

/// What a prompt that waits loses.
#[derive(Debug, Clone, Copy)]
struct Delay {
    job: JobId,
    loss: f64,
}

/// One engine's part in a choice.
#[derive(Debug, Clone)]
pub struct Share {
    /// Place of the engine among the candidates.
    pub place: usize,
    /// When it is read, in ms from now.
    pub finish_ms: f64,
    /// What streams lose by longer pauses, and what others lose by the choice of an engine that is
    /// kept for them.
    pub paused: f64,
    delays: Vec<Delay>,
}

impl Share {
    /// What others lose by it.
    pub fn harm(&self) -> f64 {
        self.paused + self.delays.iter().map(|delay| delay.loss).sum::<f64>()
    }
}

/// What others lose by all parts together. A prompt is read when the last of its parts is, so that
/// it loses by the one that is delayed most and not by each of them. Were each part charged a share of
/// the loss only, newer prompts on some of its engines would delay it by seconds.
pub fn harm_of(shares: &[&Share]) -> f64 {
    let paused: f64 = shares.iter().map(|share| share.paused).sum();
    let mut delays: Vec<Delay> = shares
        .iter()
        .flat_map(|share| share.delays.iter().copied())
        .collect();
    delays.sort_unstable_by_key(|delay| delay.job);
    let jobs = delays.chunk_by(|left, right| left.job == right.job);
    let delayed: f64 = jobs
        .map(|same| same.iter().map(|delay| delay.loss).fold(0.0, f64::max))
        .sum();
    paused + delayed
}

/// What a part costs the streams and prompts that are on an engine already, and when it is read.
pub fn share(
    setting: Setting<'_>,
    load: &EngineLoad,
    place: usize,
    part: OwnPart,
    goes_first: bool,
) -> Share {
    let Setting { now, spec, .. } = setting;
    let part_ms = part.ms * load.pace;
    let queue_ms = load.queue_ms(goes_first);
    let (tokens, all_ms) = load.waiting_tokens();
    let base_ms = load.base_ms(spec);
    let room_tokens = spec.pass_read_tokens() as f64;
    let in_one_pass = |tokens: f64, ms: f64| ms * (room_tokens / tokens.max(1.0)).min(1.0);
    let pause_before_ms = base_ms + in_one_pass(tokens, all_ms);
    let pause_after_ms = base_ms + in_one_pass(tokens + part.tokens, all_ms + part_ms);
    let finish_ms = if load.writers.is_empty() {
        queue_ms + part_ms
    } else if goes_first {
        load.pass_left_ms(now) + pause_after_ms
    } else {
        let passes = ((tokens + part.tokens) / room_tokens).ceil().max(1.0);
        load.pass_left_ms(now) + queue_ms + part_ms + passes * base_ms
    };
    let begin_paused: f64 = (0..load.parts.len())
        .map(|place| first_pause_loss(setting, load, place, part, goes_first))
        .sum();
    let paused: f64 = load
        .writers
        .iter()
        .filter(|writer| !writer.is_late)
        .map(|writer| {
            let before = lateness(pause_before_ms, writer.pause_limit_ms);
            let after = lateness(pause_after_ms, writer.pause_limit_ms);
            writer.value * (after - before)
        })
        .sum();
    let delays = (0..load.parts.len())
        .map(|place| Delay {
            job: load.parts[place].job,
            loss: delay_loss(setting, load, place, part_ms, goes_first),
        })
        .filter(|delay| delay.loss > 0.0)
        .collect();
    Share {
        place,
        finish_ms: finish_ms + CROSSING_MS,
        paused: paused + begin_paused,
        delays,
    }
}

/// What a prompt that waits on an engine loses by a part that comes now: its first event comes
/// later if the part is read ahead of it or in the same pass, else its first pause is longer.
fn delay_loss(
    setting: Setting<'_>,
    load: &EngineLoad,
    place: usize,
    part_ms: f64,
    goes_first: bool,
) -> f64 {
    let now = setting.now;
    let waiting = &load.parts[place];
    if waiting.left_ms <= 0.0 {
        return 0.0;
    }
    if goes_first || !load.writers.is_empty() {
        let slack_ms = waiting.late_at.since(now) as f64;
        let before_ms = load.pass_left_ms(now) + load.ends_in_ms(place) + CROSSING_MS;
        let before = lateness(before_ms, slack_ms);
        let after = lateness(before_ms + part_ms, slack_ms);
        let risk = setting.risk() * (part_ms / slack_ms.max(1.0)).min(1.0);
        return waiting.value * (after - before + risk);
    }
    0.0
}

/// What a prompt that has yet to begin loses by a longer first pause: what its engine has still to
/// read for others when its first event comes is read beside the next one.
///
/// The load that this answers: bursts of long prompts, each read by many engines. The engine that
/// answers is through with its part long before the others, looks idle, and is given parts of the
/// next prompts; these pause the answer for seconds once it begins.
fn first_pause_loss(
    setting: Setting<'_>,
    load: &EngineLoad,
    place: usize,
    part: OwnPart,
    goes_first: bool,
) -> f64 {
    let waiting = &load.parts[place];
    if waiting.is_helper {
        return 0.0;
    }
    let part_ms = part.ms * load.pace;
    let (tokens, all_ms) = load.waiting_tokens();
    let expected_ms = waiting.begins_at.since(setting.now) as f64;
    let is_read = waiting.left_ms <= 0.0;
    let read_ms = if is_read { 0.0 } else { load.ends_in_ms(place) };
    let delay_ms = if is_read || !goes_first { 0.0 } else { part_ms };
    let before_ms = (all_ms - expected_ms.max(read_ms)).max(0.0);
    let after_ms = (all_ms + part_ms - expected_ms.max(read_ms + delay_ms)).max(0.0);
    let token_ms = (all_ms + part_ms) / (tokens + part.tokens).max(1.0);
    let most_ms = setting.spec.pass_read_tokens() as f64 * token_ms;
    let late = |unread_ms: f64| {
        let pause_ms = load.base_ms(setting.spec) + unread_ms.min(most_ms);
        lateness(pause_ms, waiting.pause_limit_ms)
    };
    waiting.value * (late(after_ms) - late(before_ms))
}
