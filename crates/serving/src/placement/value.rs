/// Tokens of prompt that are worth as much as having an answer at all. Routes publish no value; the cost
/// of a late answer to its caller is about proportional to the length of the prompt.
const TOKENS_PER_VALUE: f64 = 9_000.0;
/// Share of its limit at which a predicted time has even odds of exceeding the limit.
const EVEN_ODDS_SHARE: f64 = 0.92;
/// Steepness of the logistic curve around that point.
const STEEPNESS: f64 = 20.0;

/// Share of its value that an answer loses by being late.
pub const LATE_LOSS: f64 = 0.75;

/// Returns the value of an answer on time, by the length of its prompt; 1 for an empty prompt.
pub fn value_of(prompt_tokens: u64) -> f64 {
    1.0 + prompt_tokens as f64 / TOKENS_PER_VALUE
}

/// Returns the probability that something predicted to take `predicted_ms` takes longer than `limit_ms`.
pub fn lateness(predicted_ms: f64, limit_ms: f64) -> f64 {
    if limit_ms <= 0.0 {
        return 1.0;
    }
    let limit_share = predicted_ms / limit_ms;
    1.0 / (1.0 + (-STEEPNESS * (limit_share - EVEN_ODDS_SHARE)).exp())
}
