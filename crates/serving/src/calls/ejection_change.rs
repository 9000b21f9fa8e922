use crate::names::TargetId;

/// A target that was ejected or readmitted, with the values that led to it.
#[derive(Debug, Clone, PartialEq)]
pub struct EjectionChange {
    /// The target's run.
    pub target: TargetId,
    /// Whether it is ejected now.
    pub is_ejected: bool,
    /// Share of its calls that failed or stayed unanswered.
    pub failure_share: f64,
    /// Its median answer time, in ms; `None` if too few answers are known.
    pub answer_ms: Option<f64>,
    /// The median of its peers' median answer times, in ms; `None` if too few answers are known.
    pub peers_answer_ms: Option<f64>,
}
