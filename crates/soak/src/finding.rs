use serde::Serialize;

/// A promise that a run broke.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Short name of the promise; the same for all findings of one check.
    pub promise: &'static str,
    /// Observation that contradicts the promise.
    pub seen: String,
}

impl Finding {
    /// Returns the finding that `seen` breaks `promise`.
    pub fn new(promise: &'static str, seen: String) -> Self {
        Self { promise, seen }
    }
}
