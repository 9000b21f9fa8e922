use {
    crate::names::TargetId,
    serde::{Deserialize, Serialize},
};

/// A target's rate limit, as instances exchange it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetLimit {
    /// Run of the target that announced the limit.
    pub target: TargetId,
    /// Requests per second from all instances together; `None` if the target has no limit any more.
    pub per_s: Option<f64>,
    /// Version of the statement; each change increments it by one.
    pub version: u64,
}

impl TargetLimit {
    /// Returns whether this statement replaces another one.
    ///
    /// Guards against two instances that receive different limits at the same time and swap them forever:
    /// of two statements with the same version both keep the lower limit, and any limit rather than none.
    pub fn supersedes(&self, other: &Self) -> bool {
        let strictness = |limit: &Self| limit.per_s.map_or(f64::NEG_INFINITY, |per_s| -per_s);
        self.version > other.version
            || self.version == other.version && strictness(self) > strictness(other)
    }
}
