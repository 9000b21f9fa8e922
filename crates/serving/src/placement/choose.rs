use {
    super::{lateness, value_of},
    crate::{
        catalog::EngineSpec,
        engines::EngineLoad,
        fleet::{JobId, Reserved},
        mechanism::{Mechanism, Without},
    },
    whinlatch_core::MonoMs,
};

/// Numbers of engines that are tried for a prompt. An engine takes sixteen entries at most, itself
/// among them.
const DEGREES: [usize; 10] = [1, 2, 3, 4, 5, 6, 8, 11, 13, 16];
/// Smallest part that is worth a helper, in ms: below it, what helping costs at each engine shows.
const SMALLEST_PART_MS: f64 = 20.0;
/// Reading of a whole prompt from which the engine that answers is asked for a place for its part, in
/// ms. It takes two orders and more, which are priced; shorter prompts are read within a pass or two
/// whatever their place.
const PLACE_FROM_MS: f64 = 150.0;
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
/// Share of its value that an answer loses by being late.
const LATE_LOSS: f64 = 0.75;
/// Most that liking an engine counts for.
const LIKING_GAIN: f64 = 0.02;
/// The same while little is known of what others place: three times the loss that is charged for
/// opening an engine, so that instances don't all pack their streams on the one engine of which they
/// have heard, and below what a short answer loses by being late.
const BLIND_LIKING_GAIN: f64 = 1.0;
/// Share of its value that an answer loses, on its way to being late, by what can't be foreseen:
/// a prompt that comes later and is read ahead, an engine that is slower than it was.
const RISK: f64 = 0.15;
/// Loss for each second until the first event, which decides between choices that are all on time.
const LOSS_PER_S: f64 = 0.05;
/// Loss for each helper: another engine's death ends the prompt.
const LOSS_PER_HELPER: f64 = 0.004;
/// Time for a request and its first event to cross the network, in ms.
const CROSSING_MS: f64 = 8.0;

/// What a second of one engine's reading costs those that come later, while the engines are half
/// used. At full load the sheets' prompts are worth some four times as much for each second of an
/// engine. With it, bursts of audits are given up to four fifths of the engines' time: given nine
/// tenths, half of them begin late or are paused for too long, which costs 0.008 of mean worth over
/// 96 days without processor charge.
const SECOND_LOSS: f64 = 1.6;

/// What is lost to later prompts by reading a prompt now, with so much of the engines' time used.
/// It grows as a queue's delay does.
///
/// The load that this answers: prompts that take all engines for seconds, while the engines are
/// nearly used up by others that are worth more for their time.
pub fn work_loss(spec: &EngineSpec, prompt_tokens: u64, used: f64) -> f64 {
    let work_s = spec.read_ms(prompt_tokens) / 1_000.0;
    SECOND_LOSS * work_s * used / (1.0 - used)
}

/// What is asked of the engines.
#[derive(Debug, Clone, Copy)]
pub struct PromptShape {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that the answer is expected to have.
    pub answer_tokens: u32,
    /// Time until its first event is late, in ms; 0 if it is late already.
    pub slack_ms: f64,
    /// Longest pause with which it is on time, in ms.
    pub pause_limit_ms: f64,
    /// Time after which nobody waits for its first event, in ms.
    pub patience_ms: f64,
    /// Memory to be set aside for it.
    pub reserved: Option<Reserved>,
    /// Share of the engines' time that was given reading of late.
    pub used: f64,
    /// Whether little is known of what other instances place.
    pub is_blind: bool,
    /// Parts of the choice that are switched off.
    pub without: Without,
}

/// An engine that may take part.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// How much this instance likes it, from 0 to 1; decides between equals.
    pub liking: f64,
    /// What it is expected to be doing.
    pub load: &'a EngineLoad,
}

/// Engines for a prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Places among the candidates: the engine that answers, then those that help.
    pub engines: Vec<usize>,
    /// Whether the part of the engine that answers is to have a place among those that go first.
    pub goes_first: bool,
    /// When the first event is expected, in ms from now.
    pub first_event_ms: f64,
    /// Predicted loss of answers on time, its own and those of others.
    pub loss: f64,
    /// What its answer is expected to be worth.
    pub gain: f64,
    /// What others lose by it.
    pub harm: f64,
}

/// The part that each engine would read.
#[derive(Debug, Clone, Copy)]
struct OwnPart {
    ms: f64,
    tokens: f64,
    goes_first: bool,
}

impl OwnPart {
    fn new(spec: &EngineSpec, shape: &PromptShape, degree: usize) -> Self {
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
struct Share {
    place: usize,
    finish_ms: f64,
    /// What streams lose by longer pauses, and what others lose by the choice of an engine that is
    /// kept for them.
    paused: f64,
    delays: Vec<Delay>,
}

impl Share {
    /// What others lose by it.
    fn harm(&self) -> f64 {
        self.paused + self.delays.iter().map(|delay| delay.loss).sum::<f64>()
    }
}

/// What others lose by all parts together. A prompt is read when the last of its parts is, so that
/// it loses by the one that is delayed most and not by each of them. Where each part bore its share of
/// the loss only, newer prompts on some of its engines delayed it by seconds: 0.009 of mean worth over
/// 72 days without processor charge.
fn harm_of(shares: &[&Share]) -> f64 {
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

/// Chooses engines for a prompt; `None` if no engine can take it.
///
/// The load that this answers: short streams with short pauses beside long prompts, in proportions
/// that swap within seconds. For each number of engines, those are taken on which the prompt does
/// least harm and is read soonest, and the number with the least predicted loss wins.
pub fn choose(
    now: MonoMs,
    spec: &EngineSpec,
    shape: &PromptShape,
    candidates: &[Candidate<'_>],
) -> Option<Choice> {
    let whole_ms = spec.read_ms(shape.prompt_tokens);
    DEGREES
        .iter()
        .copied()
        .filter(|degree| {
            let least = shape.reserved.map_or(1, |reserved| reserved.engines + 1);
            let is_worth_it = whole_ms / *degree as f64 >= SMALLEST_PART_MS
                && shape.without.has(Mechanism::Helpers);
            *degree >= least && *degree <= candidates.len() && (*degree == least || is_worth_it)
        })
        .filter_map(|degree| choose_degree(now, spec, shape, candidates, degree))
        .min_by(|left, right| left.loss.total_cmp(&right.loss))
}

fn choose_degree(
    now: MonoMs,
    spec: &EngineSpec,
    shape: &PromptShape,
    candidates: &[Candidate<'_>],
    degree: usize,
) -> Option<Choice> {
    let part = OwnPart::new(spec, shape, degree);
    let value = value_of(shape.prompt_tokens);
    let late_loss = |finish_ms: f64| {
        let late = lateness(finish_ms, shape.slack_ms);
        let gone = lateness(finish_ms, shape.patience_ms);
        value * (LATE_LOSS * late + (1.0 - LATE_LOSS) * gone)
    };
    let own_loss = |finish_ms: f64| {
        let risk = risk_of(shape) * (finish_ms / shape.slack_ms.max(1.0)).min(1.0);
        late_loss(finish_ms) + value * risk + finish_ms / 1_000.0 * LOSS_PER_S
    };
    let first = best_first(now, spec, shape, candidates, degree, &own_loss)?;
    let mut shares: Vec<Share> = candidates
        .iter()
        .enumerate()
        .filter(|(place, candidate)| {
            *place != first.place && candidate.load.helping < spec.slots as usize
        })
        .map(|(place, candidate)| share(now, spec, shape, candidate, place, part, true))
        .collect();
    if shares.len() + 1 < degree {
        return None;
    }
    let rank = |share: &Share| share.harm() + own_loss(share.finish_ms) / degree as f64;
    shares.sort_by(|left, right| rank(left).total_cmp(&rank(right)));
    shares.truncate(degree - 1);
    if let Some(reserved) = shape.reserved
        && !put_holders_first(spec, reserved, candidates, &mut shares)
    {
        return None;
    }
    let engines: Vec<usize> = std::iter::once(first.place)
        .chain(shares.iter().map(|share| share.place))
        .collect();
    let finish_ms = shares
        .iter()
        .map(|share| share.finish_ms)
        .fold(first.finish_ms, f64::max);
    let parts: Vec<&Share> = std::iter::once(&first).chain(&shares).collect();
    let harm = if shape.without.has(Mechanism::Delays) {
        harm_of(&parts)
    } else {
        parts.iter().map(|share| share.paused).sum()
    };
    let helpers = (degree - 1) as f64 * LOSS_PER_HELPER;
    let paused = pause_loss(spec, shape, candidates[first.place].load, part, finish_ms);
    Some(Choice {
        engines,
        goes_first: part.goes_first,
        first_event_ms: finish_ms,
        loss: own_loss(finish_ms) + harm + paused + helpers,
        gain: value - late_loss(finish_ms) - paused,
        harm,
    })
}

/// Share of its value by which what is likely to be in time counts as less than what is sure to be.
fn risk_of(shape: &PromptShape) -> f64 {
    if shape.without.has(Mechanism::Risk) {
        RISK
    } else {
        0.0
    }
}

/// Puts those with the most free memory first. Returns whether enough of them have room for what
/// is to be set aside.
fn put_holders_first(
    spec: &EngineSpec,
    reserved: Reserved,
    candidates: &[Candidate<'_>],
    shares: &mut [Share],
) -> bool {
    let used = |share: &Share| candidates[share.place].load.memory_tokens;
    shares.sort_by_key(used);
    shares
        .iter()
        .take(reserved.engines)
        .all(|share| used(share) + reserved.tokens <= spec.memory_tokens)
}

/// The engine that answers.
fn best_first(
    now: MonoMs,
    spec: &EngineSpec,
    shape: &PromptShape,
    candidates: &[Candidate<'_>],
    degree: usize,
    own_loss: &impl Fn(f64) -> f64,
) -> Option<Share> {
    let part = OwnPart::new(spec, shape, degree);
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| can_answer(spec, shape, candidate.load))
        .map(|(place, candidate)| {
            let mut first = share(now, spec, shape, candidate, place, part, part.goes_first);
            first.paused += answer_loss(spec, shape, candidate.load);
            first.paused += LIKING_GAIN * (1.0 - candidate.liking);
            let paused = pause_loss(spec, shape, candidate.load, part, first.finish_ms);
            // Not being liked harms nobody, and is no reason to refuse.
            let blind_gain = if shape.is_blind {
                BLIND_LIKING_GAIN
            } else {
                0.0
            };
            let disliked = blind_gain * (1.0 - candidate.liking);
            let loss = first.harm() + paused + disliked + own_loss(first.finish_ms);
            (loss, first)
        })
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_loss, first)| first)
}

/// What a prompt loses by its own first pause: what its engine has still to read for others when
/// its first event comes is read beside its next one.
///
/// The load that this answers: bursts of long prompts, whose parts are read newest first. A prompt
/// that comes in time overtakes older parts, and is paused by them for seconds.
fn pause_loss(
    spec: &EngineSpec,
    shape: &PromptShape,
    load: &EngineLoad,
    part: OwnPart,
    finish_ms: f64,
) -> f64 {
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
    LATE_LOSS * value_of(shape.prompt_tokens) * lateness(pause_ms, shape.pause_limit_ms)
}

/// What a part costs the streams and prompts that are on an engine already, and when it is read.
fn share(
    now: MonoMs,
    spec: &EngineSpec,
    shape: &PromptShape,
    candidate: &Candidate<'_>,
    place: usize,
    part: OwnPart,
    goes_first: bool,
) -> Share {
    let load = candidate.load;
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
            loss: delay_loss(now, shape, load, place, part_ms, goes_first),
        })
        .filter(|delay| delay.loss > 0.0)
        .collect();
    Share {
        place,
        finish_ms: finish_ms + CROSSING_MS,
        paused,
        delays,
    }
}

/// What a prompt that waits on an engine loses by a part that comes now: its first event comes
/// later if the part is read ahead of it or in the same pass, else its first pause is longer.
fn delay_loss(
    now: MonoMs,
    shape: &PromptShape,
    load: &EngineLoad,
    place: usize,
    part_ms: f64,
    goes_first: bool,
) -> f64 {
    let waiting = &load.parts[place];
    if waiting.left_ms <= 0.0 {
        return 0.0;
    }
    if goes_first || !load.writers.is_empty() {
        let slack_ms = waiting.late_at.since(now) as f64;
        let before_ms = load.pass_left_ms(now) + load.ends_in_ms(place) + CROSSING_MS;
        let before = lateness(before_ms, slack_ms);
        let after = lateness(before_ms + part_ms, slack_ms);
        let risk = risk_of(shape) * (part_ms / slack_ms.max(1.0)).min(1.0);
        return waiting.value * (after - before + risk);
    }
    if waiting.is_helper {
        return 0.0;
    }
    waiting.value * lateness(part_ms, waiting.pause_limit_ms)
}

fn can_answer(spec: &EngineSpec, shape: &PromptShape, load: &EngineLoad) -> bool {
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
fn answer_loss(spec: &EngineSpec, shape: &PromptShape, load: &EngineLoad) -> f64 {
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
