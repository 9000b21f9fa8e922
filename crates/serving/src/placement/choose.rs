use {
    super::{Candidate, PromptShape, division::Division, setting::Setting},
    crate::{catalog::EngineSpec, mechanism::Mechanism},
    whinlatch_core::MonoMs,
};

/// Numbers of engines that are tried for a prompt. An engine takes sixteen entries at most, itself
/// among them.
const DEGREES: [usize; 10] = [1, 2, 3, 4, 5, 6, 8, 11, 13, 16];
/// Smallest part that is worth a helper, in ms: below it, what helping costs at each engine shows.
const SMALLEST_PART_MS: f64 = 20.0;
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
        .filter_map(|degree| Division::new(setting, candidates, degree).choice())
        .min_by(|left, right| left.loss.total_cmp(&right.loss))
}
