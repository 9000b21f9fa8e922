/// Tokens of prompt that are worth as much as having an answer at all. Routes publish no worth; whoever
/// sends a long prompt loses about in proportion to its length when the answer is late.
const TOKENS_PER_VALUE: f64 = 9_000.0;
/// Share of the way to its limit at which a predicted time is even odds to be late in the end.
const EVEN_ODDS_AT: f64 = 0.92;
/// How steeply the odds turn around that point.
const STEEPNESS: f64 = 20.0;

/// Share of its value that an answer loses by being late.
pub const LATE_LOSS: f64 = 0.75;

/// What an answer on time is worth against others, by the length of its prompt.
pub fn value_of(prompt_tokens: u64) -> f64 {
    1.0 + prompt_tokens as f64 / TOKENS_PER_VALUE
}

/// Odds that something predicted to take `predicted_ms` takes longer than `limit_ms`.
pub fn lateness(predicted_ms: f64, limit_ms: f64) -> f64 {
    if limit_ms <= 0.0 {
        return 1.0;
    }
    let used = predicted_ms / limit_ms;
    1.0 / (1.0 + (-STEEPNESS * (used - EVEN_ODDS_AT)).exp())
}
