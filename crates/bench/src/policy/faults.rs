use serde::Deserialize;

/// Faults to inject in a run, read from a file. A fault whose field is missing doesn't happen.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Age of load reports, in ms.
    pub report_lag_ms: u64,
    /// Fraction of the cache events that are lost.
    pub lost_cache_events: f64,
    /// Interval at which a target crashes, each time the next one, in s; absent for no crashes.
    pub death_every_s: Option<u64>,
    /// Time from a crash until the target restarts as a new incarnation, in s.
    pub restart_s: u64,
    /// Indexes of slow targets.
    pub slow_targets: Vec<usize>,
    /// Factor by which slow targets are slower.
    pub slow_factor: f64,
    /// Targets that start to leave during the run.
    pub leaving: Vec<Leaving>,
}

/// A target that starts to leave.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaving {
    /// Index of the target.
    pub target: usize,
    /// Time from the start of the simulation, in s.
    pub at_s: u64,
}

/// Age of load reports unless the file sets it, in ms.
const DEFAULT_REPORT_LAG_MS: u64 = 300;
/// Restart time unless the file sets it, in s.
const DEFAULT_RESTART_S: u64 = 20;

impl Default for Faults {
    fn default() -> Self {
        Self {
            report_lag_ms: DEFAULT_REPORT_LAG_MS,
            lost_cache_events: 0.0,
            death_every_s: None,
            restart_s: DEFAULT_RESTART_S,
            slow_targets: Vec::new(),
            slow_factor: 1.0,
            leaving: Vec::new(),
        }
    }
}
