use serde::{Deserialize, Serialize};

/// Objectives and limits of the deployment. An absent field has the value of
/// `PolicyRecord::default()`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicyRecord {
    /// Weight of the time to first token of the longest prompts as an objective, 0 to 1.
    pub long_first_token_weight: f64,
    /// Weight of the slowdown of short requests as an objective, 0 to 1.
    pub short_slowdown_weight: f64,
    /// Minimum number of tokens of a long prompt.
    pub long_prompt_tokens: u64,
    /// Budget of reads of the platform per second, for all daemons together.
    pub platform_reads_per_s: f64,
    /// Maximum number of retries and hedges per 1,000 first attempts.
    pub retry_budget_per_mille: u32,
    /// Number of targets that a request may crash before the whole fleet refuses it.
    pub poison_targets: u32,
    /// Time for which callers may cache the response of `GET /v1/entries`, in ms.
    pub entries_ttl_ms: u64,
    /// Longest deadline that a caller may set, in ms.
    pub max_deadline_ms: u64,
}

impl Default for PolicyRecord {
    fn default() -> Self {
        Self {
            long_first_token_weight: 0.5,
            short_slowdown_weight: 0.5,
            long_prompt_tokens: 100_000,
            platform_reads_per_s: 200.0,
            retry_budget_per_mille: 100,
            poison_targets: 2,
            entries_ttl_ms: 3_000,
            max_deadline_ms: 600_000,
        }
    }
}
