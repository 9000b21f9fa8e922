use whinlatch_core::MonoMs;

/// What the fleet together knows of the calls to a target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetCallLoad {
    /// Calls in flight of the other instances.
    pub in_flight_elsewhere: u32,
    /// Median answer time, in ms; `None` if too few answers are known.
    pub answer_ms: Option<f64>,
    /// 95th percentile of the answer times of the target's service, in ms; `None` if too few answers are known or it
    /// is computed where it is needed.
    pub late_ms: Option<f64>,
    /// Share of the calls that failed or stayed unanswered.
    pub failure_share: f64,
    /// When this was the state.
    pub as_of: MonoMs,
}
