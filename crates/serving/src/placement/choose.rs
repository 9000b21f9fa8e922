use {
    super::{
        Candidate, PromptShape,
        answering::{answer_loss, can_answer, pause_loss},
        lateness,
        share::{OwnPart, Setting, Share, harm_of, share},
        value::LATE_LOSS,
        value_of,
    },
    crate::{catalog::EngineSpec, fleet::Reserved, mechanism::Mechanism},
    whinlatch_core::MonoMs,
};

/// Numbers of engines that are tried for a prompt. An engine takes sixteen entries at most, itself
/// among them.
const DEGREES: [usize; 10] = [1, 2, 3, 4, 5, 6, 8, 11, 13, 16];
/// Smallest part that is worth a helper, in ms: below it, what helping costs at each engine shows.
const SMALLEST_PART_MS: f64 = 20.0;
/// Most that liking an engine counts for.
const LIKING_GAIN: f64 = 0.02;
/// The same while little is known of what others place: three times the loss that is charged for
/// opening an engine, so that instances don't all pack their streams on the one engine of which they
/// have heard, and below what a short answer loses by being late.
const BLIND_LIKING_GAIN: f64 = 1.0;
/// Loss for each second until the first event, which decides between choices that are all on time.
const LOSS_PER_S: f64 = 0.05;
/// Loss for each helper: another engine's death ends the prompt.
const LOSS_PER_HELPER: f64 = 0.004;

/// What a second of one engine's reading costs those that come later, while the engines are half
/// used. It leaves a part of the engines' time to the prompts that come next: given all of it, a
/// burst of long prompts makes half of its own late.
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
    let setting = Setting { now, spec, shape };
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
        .filter_map(|degree| choose_degree(setting, candidates, degree))
        .min_by(|left, right| left.loss.total_cmp(&right.loss))
}

fn choose_degree(
    setting: Setting<'_>,
    candidates: &[Candidate<'_>],
    degree: usize,
) -> Option<Choice> {
    let Setting { spec, shape, .. } = setting;
    let part = OwnPart::new(setting, degree);
    let value = value_of(shape.prompt_tokens);
    let late_loss = |finish_ms: f64| {
        let late = lateness(finish_ms, shape.slack_ms);
        let gone = lateness(finish_ms, shape.patience_ms);
        value * (LATE_LOSS * late + (1.0 - LATE_LOSS) * gone)
    };
    let own_loss = |finish_ms: f64| {
        let risk = setting.risk() * (finish_ms / shape.slack_ms.max(1.0)).min(1.0);
        late_loss(finish_ms) + value * risk + finish_ms / 1_000.0 * LOSS_PER_S
    };
    let first = best_first(setting, candidates, part, &own_loss)?;
    let mut shares: Vec<Share> = candidates
        .iter()
        .enumerate()
        .filter(|(place, candidate)| {
            *place != first.place && candidate.load.helping < spec.slots as usize
        })
        .map(|(place, candidate)| share(setting, candidate.load, place, part, true))
        .collect();
    if shares.len() + 1 < degree {
        return None;
    }
    let rank = |share: &Share| {
        let failed = setting.failed_loss(candidates[share.place].load);
        share.harm() + failed + own_loss(share.finish_ms) / degree as f64
    };
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
    let paused = pause_loss(setting, candidates[first.place].load, part, finish_ms);
    Some(Choice {
        engines,
        goes_first: part.goes_first,
        first_event_ms: finish_ms,
        loss: own_loss(finish_ms) + harm + paused + helpers,
        gain: value - late_loss(finish_ms) - paused,
        harm,
    })
}

/// The engine that answers.
fn best_first(
    setting: Setting<'_>,
    candidates: &[Candidate<'_>],
    part: OwnPart,
    own_loss: &impl Fn(f64) -> f64,
) -> Option<Share> {
    // Not being liked harms nobody, and is no reason to refuse.
    let blind_gain = if setting.shape.is_blind {
        BLIND_LIKING_GAIN
    } else {
        0.0
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| can_answer(setting, candidate.load))
        .map(|(place, candidate)| {
            let mut first = share(setting, candidate.load, place, part, part.goes_first);
            first.paused += answer_loss(setting, candidate.load);
            first.paused += LIKING_GAIN * (1.0 - candidate.liking);
            let paused = pause_loss(setting, candidate.load, part, first.finish_ms);
            let disliked = blind_gain * (1.0 - candidate.liking);
            let failed = setting.failed_loss(candidate.load);
            let loss = first.harm() + paused + disliked + failed + own_loss(first.finish_ms);
            (loss, first)
        })
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_loss, first)| first)
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
