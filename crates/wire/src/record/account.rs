use {
    crate::ids::{AccountName, CallerName},
    serde::{Deserialize, Serialize},
};

/// A client account: who may call for it and how much of the fleet it may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountRecord {
    /// Name of the account.
    pub account: AccountName,
    /// SHA-256 digests, in hexadecimal, of the keys that callers of this account present.
    pub key_sha256: Vec<String>,
    /// Callers of the account; empty means any.
    #[serde(default)]
    pub callers: Vec<CallerName>,
    /// Requests a second over the whole fleet.
    pub requests_per_s: f64,
    /// Prompt tokens a second over the whole fleet.
    pub tokens_per_s: f64,
    /// Weight against other accounts when there is not enough for all.
    #[serde(default = "one")]
    pub weight: f64,
}

fn one() -> f64 {
    1.0
}
