use {
    crate::ids::{AccountName, CallerName},
    serde::{Deserialize, Serialize},
};

/// A client account: its keys, its callers and its share of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountRecord {
    /// Name that callers state in the account header.
    pub account: AccountName,
    /// SHA-256 digests, in hexadecimal, of the keys that authenticate callers of this account.
    pub key_sha256: Vec<String>,
    /// Callers that may use the account; empty means any.
    #[serde(default)]
    pub callers: Vec<CallerName>,
    /// Quota of requests per second over the whole fleet.
    pub requests_per_s: f64,
    /// Quota of prompt tokens per second over the whole fleet.
    pub tokens_per_s: f64,
    /// Weight relative to other accounts when capacity is short; 1 if absent.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

fn default_weight() -> f64 {
    1.0
}
