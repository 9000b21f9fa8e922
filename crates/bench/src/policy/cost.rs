use super::mix::Band;

/// Prompt tokens that an engine prefills in one step.
pub const CHUNK_TOKENS: u64 = 2_048;
/// Tokens by which a step extends each running answer.
pub const STEP_ANSWER_TOKENS: u32 = 4;
/// Requests in an engine's batch.
pub const SLOTS: u32 = 64;
/// Capacity of an engine's KV cache, in tokens. A prompt of a million tokens needs four engines.
pub const MEMORY_TOKENS: u64 = 300_000;
/// Prefill rate at the start of a prompt, in tokens per second, where attention costs nothing yet.
pub const PREFILL_TOKENS_PER_S: u64 = 40_000;
/// Slowdown of an engine's own steps for each group whose prompt it helps to prefill; 1 doubles the
/// length of a step.
pub const HELP_SLOWDOWN: f64 = 1.0;

/// Time to prefill a token without attention to earlier tokens, in µs.
const PREFILL_TOKEN_US: f64 = 1_000_000.0 / PREFILL_TOKENS_PER_S as f64;
/// Attention time of a token for each earlier token, in µs. At 200,000 prompt tokens the total
/// attention time equals the rest of the prefill.
const ATTENTION_PAIR_US: f64 = 2.5e-4;
/// Minimum length of a step, in µs.
const MIN_STEP_US: f64 = 8_000.0;
/// Time that each running answer adds to a step, in µs.
const STEP_US_PER_ANSWER: f64 = 500.0;
/// Running answers among which the minimum step length is divided in the work of a request.
const NOMINAL_ANSWERS_PER_STEP: f64 = 8.0;

/// Returns the time to prefill `tokens` after `before` others, in µs. In a group of `engines`, the leader
/// does everything but the attention, which each engine does for its part of the KV cache.
pub fn prefill_us(before: u64, tokens: u64, engines: usize) -> f64 {
    let pairs = tokens as f64 * (before as f64 + tokens as f64 / 2.0);
    tokens as f64 * PREFILL_TOKEN_US + pairs * ATTENTION_PAIR_US / engines as f64
}

/// Returns the time of a step that prefills for `prefill_us` and extends `answers`, in µs. The minimum
/// step length is the time to read the model's weights, which overlaps with prefill.
pub fn step_us(prefill_us: f64, answers: usize) -> f64 {
    prefill_us.max(MIN_STEP_US) + answers as f64 * STEP_US_PER_ANSWER
}

/// Returns the minimum number of engines whose memory holds the prompt and its longest answer.
pub fn engines_needed(prompt_tokens: u64, max_tokens: u32) -> usize {
    (prompt_tokens + u64::from(max_tokens)).div_ceil(MEMORY_TOKENS) as usize
}

/// Returns the time to first token on an idle fleet without a cached prefix, in µs.
pub fn idle_ttft_us(prompt_tokens: u64, max_tokens: u32) -> f64 {
    let engines = engines_needed(prompt_tokens, max_tokens);
    prefill_us(0, prompt_tokens, engines)
}

/// Returns the total engine time of a request, in µs, including that of helping engines. `--load` is
/// in terms of this work.
pub fn work_us(prompt_tokens: u64, answer_tokens: u32) -> f64 {
    let engines = engines_needed(prompt_tokens, answer_tokens);
    let prefill = prefill_us(0, prompt_tokens, engines);
    let helped = (engines - 1) as f64 * prefill * HELP_SLOWDOWN / (1.0 + HELP_SLOWDOWN);
    let steps = f64::from(answer_tokens) / f64::from(STEP_ANSWER_TOKENS);
    prefill + helped + steps * (MIN_STEP_US / NOMINAL_ANSWERS_PER_STEP + STEP_US_PER_ANSWER)
}

/// Returns the mean engine time of a band's requests, in µs, over evenly spaced quantiles of the prompt
/// length.
pub fn mean_work_us(band: &Band) -> f64 {
    const POINTS: u32 = 200;
    let answer = u32::midpoint(band.answer_tokens[0], band.answer_tokens[1]);
    let total: f64 = (0..POINTS)
        .map(|point| (f64::from(point) + 0.5) / f64::from(POINTS))
        .map(|quantile| work_us(band.prompt_at(quantile), answer))
        .sum();
    total / f64::from(POINTS)
}
