use super::mix::Band;

/// Tokens that an engine reads in one step.
pub const CHUNK_TOKENS: u64 = 2_048;
/// Tokens that each running answer gets in one step.
pub const STEP_ANSWER_TOKENS: u32 = 4;
/// Requests that an engine works on at once.
pub const SLOTS: u32 = 64;
/// Tokens that an engine's KV cache holds. A prompt of a million tokens takes four engines.
pub const MEMORY_TOKENS: u64 = 300_000;
/// Tokens a second that an engine reads at the very start of a prompt.
pub const PREFILL_TOKENS_PER_S: u64 = 40_000;
/// How much slower an engine's own steps are for each group that it helps to read a prompt.
pub const HELP_SLOWDOWN: f64 = 1.0;

/// Time to read one token without attention to those before it, in us.
const TOKEN_US: f64 = 1_000_000.0 / PREFILL_TOKENS_PER_S as f64;
/// Time of a token's attention to one token before it, in us: at 200,000 tokens the attention has
/// taken as long in all as the rest.
const PAIR_US: f64 = 2.5e-4;
/// Least time of a step, in us.
const ANSWER_STEP_US: f64 = 8_000.0;
/// Time that each answer adds to a step, in us.
const ANSWER_US: f64 = 500.0;
/// Answers that share a step, as the nominal load assumes.
const USUAL_ANSWERS: f64 = 8.0;

/// Time to read `tokens` after `before` others, in us. In a group of `engines` the one that runs the
/// prompt does all but the attention, which each does for the part that it holds.
pub fn read_us(before: u64, tokens: u64, engines: usize) -> f64 {
    let pairs = tokens as f64 * (before as f64 + tokens as f64 / 2.0);
    tokens as f64 * TOKEN_US + pairs * PAIR_US / engines as f64
}

/// Time of a step that reads prompts for `read_us` and adds to `answers`, in us. A step has a least
/// length, in which the weights are gone through; reading a chunk of a prompt hides it.
pub fn step_us(read_us: f64, answers: usize) -> f64 {
    read_us.max(ANSWER_STEP_US) + answers as f64 * ANSWER_US
}

/// Engines that a prompt needs at least.
pub fn engines_needed(prompt_tokens: u64, max_tokens: u32) -> usize {
    (prompt_tokens + u64::from(max_tokens)).div_ceil(MEMORY_TOKENS) as usize
}

/// Time to first token on an idle fleet without any cached prefix, in us.
pub fn idle_us(prompt_tokens: u64, max_tokens: u32) -> f64 {
    let engines = engines_needed(prompt_tokens, max_tokens);
    read_us(0, prompt_tokens, engines)
}

/// Engine time that a request takes in all, in us. This is what `--load` counts.
pub fn work_us(prompt_tokens: u64, answer_tokens: u32) -> f64 {
    let engines = engines_needed(prompt_tokens, answer_tokens);
    let read = read_us(0, prompt_tokens, engines);
    let helped = (engines - 1) as f64 * read * HELP_SLOWDOWN / (1.0 + HELP_SLOWDOWN);
    let steps = f64::from(answer_tokens) / f64::from(STEP_ANSWER_TOKENS);
    read + helped + steps * (ANSWER_STEP_US / USUAL_ANSWERS + ANSWER_US)
}

/// Mean engine time of a band's requests, in us, over evenly spaced quantiles of its lengths.
pub fn mean_work_us(band: &Band) -> f64 {
    const POINTS: u32 = 200;
    let answer = u32::midpoint(band.answer_tokens[0], band.answer_tokens[1]);
    let total: f64 = (0..POINTS)
        .map(|point| (f64::from(point) + 0.5) / f64::from(POINTS))
        .map(|quantile| work_us(band.prompt_at(quantile), answer))
        .sum();
    total / f64::from(POINTS)
}
