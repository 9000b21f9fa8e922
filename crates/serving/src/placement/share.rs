//! What one part of a prompt costs those that are at work on its engine.

use {
    super::{
        lateness,
        pauses::{first_pauses_loss, writers_loss},
        setting::Setting,
    },
    crate::{engines::EngineLoad, fleet::JobId, mechanism::Mechanism},
};

/// Reading of a whole prompt from which the engine that answers is asked for a place for its part, in
/// ms. It takes two calls of the engine and more; shorter prompts are read within a pass or two
/// whatever their place.
const PLACE_FROM_MS: f64 = 150.0;
/// Time for a request and its first event to cross the network, in ms.
const CROSSING_MS: f64 = 8.0;

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
    let part_ms = part.ms * load.pace;
    let paused =
        writers_loss(setting, load, part) + first_pauses_loss(setting, load, part, goes_first);
    let delays = (0..load.parts.len())
        .map(|place| Delay {
            job: load.parts[place].job,
            loss: delay_loss(setting, load, place, part_ms, goes_first),
        })
        .filter(|delay| delay.loss > 0.0)
        .collect();
    Share {
        place,
        finish_ms: finish_ms(setting, load, part, goes_first) + CROSSING_MS,
        paused,
        delays,
    }
}

/// When an engine has read a part that comes now, in ms.
fn finish_ms(setting: Setting<'_>, load: &EngineLoad, part: OwnPart, goes_first: bool) -> f64 {
    let part_ms = part.ms * load.pace;
    if load.writers.is_empty() {
        return load.queue_ms(goes_first) + part_ms;
    }
    let (tokens, waiting_ms) = load.waiting_tokens();
    let room_tokens = setting.spec.pass_read_tokens() as f64;
    let ahead_tokens = if goes_first { 0.0 } else { tokens };
    let passes = ((ahead_tokens + part.tokens) / room_tokens).ceil().max(1.0);
    let others_ms = if goes_first {
        // What waits is read in the room that the part leaves in its last pass.
        let left_tokens = passes * room_tokens - part.tokens;
        waiting_ms * (left_tokens / tokens.max(1.0)).min(1.0)
    } else {
        waiting_ms
    };
    load.pass_left_ms(setting.now) + passes * load.base_ms(setting.spec) + others_ms + part_ms
}

/// What a prompt that waits on an engine loses by a part that comes now: its first event comes
/// later if the part is read ahead of it or in the same pass.
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
