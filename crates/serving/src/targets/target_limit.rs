use {
    crate::names::TargetId,
    serde::{Deserialize, Serialize},
};

/// What instances tell each other of the limit that a target names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetLimit {
    /// The target.
    pub target: TargetId,
    /// Requests a second that it takes from all instances together; `None` if it names no limit any more.
    pub per_s: Option<f64>,
    /// One more than that of the statement which it replaces.
    pub version: u64,
}

impl TargetLimit {
    /// Whether it replaces another statement.
    ///
    /// Guards against two instances that hear different things at the same time and swap them for ever: of two
    /// statements of the same version the lower limit holds on both, and any goes before none.
    pub fn is_after(&self, other: &Self) -> bool {
        let strictness = |limit: &Self| limit.per_s.map_or(f64::NEG_INFINITY, |per_s| -per_s);
        self.version > other.version
            || self.version == other.version && strictness(self) > strictness(other)
    }
}
