use {
    crate::names::TargetId,
    serde::{Deserialize, Serialize},
};

/// Change of the calls in flight from which a target's row is sent again. Smaller ones are over before the row
/// arrives: a call of 30 ms is shorter than the time between two heartbeats.
const MIN_IN_FLIGHT_CHANGE: u32 = 2;
/// Change of the failure share from which a target's row is sent again: it doubles the cost of a target.
const MIN_SHARE_CHANGE: f32 = 0.05;
/// Relative change of a time from which a target's row is sent again: below it, the random part of a target's cost
/// decides.
const MIN_TIME_CHANGE: f64 = 0.15;

/// What the fleet together knows of a target: a row of the view that the first responsive hub sends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallPicture {
    /// The target's run.
    pub target: TargetId,
    /// Calls in flight from all instances.
    #[serde(default)]
    pub in_flight: u32,
    /// Median answer time, in ms; `None` if too few answers are known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_ms: Option<u32>,
    /// 95th percentile of the answer times of the target's service, in ms; `None` if too few answers are known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub late_ms: Option<u32>,
    /// Share of the calls that failed or stayed unanswered, in steps of a hundredth.
    #[serde(default)]
    pub failure_share: f32,
}

impl CallPicture {
    /// Returns whether a row differs from this one by so much that it should be sent.
    pub fn differs_from(&self, other: &Self) -> bool {
        self.in_flight.abs_diff(other.in_flight) >= MIN_IN_FLIGHT_CHANGE
            || (self.failure_share - other.failure_share).abs() >= MIN_SHARE_CHANGE
            || is_other_time(self.answer_ms, other.answer_ms)
            || is_other_time(self.late_ms, other.late_ms)
    }
}

fn is_other_time(left: Option<u32>, right: Option<u32>) -> bool {
    match (left, right) {
        (Some(left), Some(right)) => {
            f64::from(left.abs_diff(right)) >= MIN_TIME_CHANGE * f64::from(left.max(right).max(1))
        }
        _ => left != right,
    }
}
