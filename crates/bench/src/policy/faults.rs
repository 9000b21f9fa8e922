use serde::Deserialize;

/// Faults of a run, as a file states them. A missing field means that the fault doesn't happen.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Age of load reports, in ms.
    pub report_lag_ms: u64,
    /// Part of the cache events that get lost.
    pub lost_cache_events: f64,
    /// A target, the next each time, dies this often, in s.
    pub death_every_s: Option<u64>,
    /// Time until a dead target is back as a new run, in s.
    pub restart_s: u64,
    /// Targets that are slow, by number.
    pub slow_targets: Vec<usize>,
    /// How many times slower they are.
    pub slow_factor: f64,
    /// When each target of the list begins to leave, by number and s.
    pub leaving: Vec<Leaving>,
}

/// A target that begins to leave.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaving {
    /// Number of the target.
    pub target: usize,
    /// When, in s.
    pub at_s: u64,
}

/// Age of load reports where nothing is said, in ms.
const USUAL_LAG_MS: u64 = 300;
/// Time until a dead target is back where nothing is said, in s.
const USUAL_RESTART_S: u64 = 20;

impl Default for Faults {
    fn default() -> Self {
        Self {
            report_lag_ms: USUAL_LAG_MS,
            lost_cache_events: 0.0,
            death_every_s: None,
            restart_s: USUAL_RESTART_S,
            slow_targets: Vec::new(),
            slow_factor: 1.0,
            leaving: Vec::new(),
        }
    }
}
