use {super::TokenBucket, crate::catalog::ColdStart};

/// Holders that may grant permits for one target at the same time, while instances disagree on which of them
/// is the holder.
const CONCURRENT_HOLDERS: f64 = 2.0;
/// Least rate that a cold target gets, as a share of the rate that it tolerates.
const MIN_SHARE: f64 = 0.25;

/// Rule for the requests that a cold target may get within one second, from all instances together:
/// `factor` times the rate that its service publishes, and `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimitRule {
    /// Factor on the published rate.
    pub factor: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for ColdLimitRule {
    fn default() -> Self {
        Self {
            factor: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdLimitRule {
    /// Returns the rate at which permits for a cold target are granted, in requests per second: what it
    /// tolerates, or less where two holders and their bursts could exceed the rule.
    pub fn rate_per_s(&self, cold_start: &ColdStart) -> f64 {
        let tolerated_per_s = cold_start.requests_per_s;
        let max_in_one_s = tolerated_per_s * self.factor + self.slack;
        let for_each_holder = max_in_one_s / CONCURRENT_HOLDERS - TokenBucket::MAX_TOKENS;
        for_each_holder
            .max(tolerated_per_s * MIN_SHARE)
            .min(tolerated_per_s)
    }
}
