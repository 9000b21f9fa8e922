use {
    super::{
        Candidate, PromptShape, placement_context::PlacementContext, prompt_split::PromptSplit,
    },
    crate::{catalog::EngineSpec, mechanism::Mechanism},
    whinlatch_core::MonoMs,
};

/// Numbers of engines that are evaluated for a prompt. An engine accepts a list of at most sixteen engines,
/// itself included.
const DEGREES: [usize; 10] = [1, 2, 3, 4, 5, 6, 8, 11, 13, 16];
/// Minimum reading time of a part that justifies a helper, in ms: below it, the overhead at each engine
/// outweighs the gain.
const MIN_PART_MS: f64 = 20.0;
/// Loss of later prompts per second of one engine's reading, at a utilization of one half. It reserves a part
/// of the engines' time for the prompts that come next: without it, half of the prompts in a burst of long
/// ones are late.
const LOSS_PER_READING_S: f64 = 1.6;

/// Returns the loss of later prompts by reading a prompt now, at a utilization of the engines from 0 to
/// below 1. It grows like the delay of a queue.
///
/// It makes prompts that take all engines for seconds give way, on nearly saturated engines, to prompts that
/// are worth more for their time.
pub fn work_loss(spec: &EngineSpec, prompt_tokens: u64, utilization: f64) -> f64 {
    let work_s = spec.read_ms(prompt_tokens) / 1_000.0;
    LOSS_PER_READING_S * work_s * utilization / (1.0 - utilization)
}

/// The engines chosen for a prompt, with the predicted outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Indices among the candidates: the engine that answers, then the helpers.
    pub engines: Vec<usize>,
    /// Whether the engine that answers is to read its part ahead of prompts that arrive later. For this, a
    /// little memory has to be reserved there as well.
    pub is_prioritized: bool,
    /// Expected time of the first event, in ms from the choice.
    pub first_event_ms: f64,
    /// Predicted loss of value, of the prompt itself and of others, by which choices are compared.
    pub loss: f64,
    /// Expected value of the answer.
    pub gain: f64,
    /// Predicted loss of other prompts and streams.
    pub cost_to_others: f64,
}

/// Chooses engines for a prompt; `None` if no engine can take it.
///
/// For each number of engines, takes those on which the prompt costs others least and is read soonest, and
/// returns the choice with the least predicted loss. The load that this is designed for is a mix of short
/// streams with short pause limits and of long prompts, whose proportions change within seconds.
pub fn choose(
    now: MonoMs,
    spec: &EngineSpec,
    shape: &PromptShape,
    candidates: &[Candidate<'_>],
) -> Option<Choice> {
    let context = PlacementContext { now, spec, shape };
    let whole_ms = spec.read_ms(shape.prompt_tokens);
    DEGREES
        .iter()
        .copied()
        .filter(|degree| {
            let min_degree = shape.reserved.map_or(1, |reserved| reserved.engines + 1);
            let is_worth_it = whole_ms / *degree as f64 >= MIN_PART_MS
                && shape.mechanisms.is_enabled(Mechanism::Helpers);
            *degree >= min_degree
                && *degree <= candidates.len()
                && (*degree == min_degree || is_worth_it)
        })
        .filter_map(|degree| PromptSplit::new(context, candidates, degree).choose())
        .min_by(|left, right| left.loss.total_cmp(&right.loss))
}
