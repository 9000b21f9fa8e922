use {
    crate::names::TargetId,
    serde::{Deserialize, Serialize},
};

/// What an instance reports of its calls to a target: those in flight, and the results since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallReport {
    /// The target's run.
    pub target: TargetId,
    /// Calls in flight.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub in_flight: u32,
    /// Answers: pairs of a bucket of [`super::AnswerTimes`] and a count.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answers: Vec<(u8, u32)>,
    /// Calls that failed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// Calls that were given up without an answer.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unanswered: u32,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference to the field"
)]
fn is_zero(count: &u32) -> bool {
    *count == 0
}
