use serde::Serialize;

/// A promise that wasn't kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The promise, in a word.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl Finding {
    /// A finding.
    pub fn new(promise: &'static str, seen: String) -> Self {
        Self { promise, seen }
    }
}
