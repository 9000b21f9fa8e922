use {
    super::{arrivals::Arrival, baseline::Rule, faults::Faults, mix::Mix},
    whinlatch_wire::caller::Outcome,
};

/// What decides at each daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The core.
    Whinlatch,
    /// A rule that balancers commonly follow.
    Common(Rule),
}

/// One run.
#[derive(Debug)]
pub struct Setup<'a> {
    /// The requests.
    pub mix: &'a Mix,
    /// The mix whose work makes up the load; it may hold more bands.
    pub rate_of: &'a Mix,
    /// Decides at each daemon.
    pub policy: Policy,
    /// Daemons.
    pub daemons: usize,
    /// Targets.
    pub targets: usize,
    /// Work that arrives over work that all engines can do.
    pub load: f64,
    /// Seed of all chance.
    pub seed: u64,
    /// Faults.
    pub faults: &'a Faults,
}

/// What became of a request.
#[derive(Debug)]
pub struct Trial {
    /// The request.
    pub arrival: Arrival,
    /// When its first token came last, in us; a broken answer begins again.
    pub first_us: Option<u64>,
    /// When and how it ended.
    pub end: Option<(u64, Outcome)>,
    /// Target of its first attempt.
    pub first_target: Option<usize>,
    /// Attempts.
    pub attempts: u32,
}

impl Trial {
    /// A request that hasn't arrived yet.
    pub fn new(arrival: Arrival) -> Self {
        Self {
            arrival,
            first_us: None,
            end: None,
            first_target: None,
            attempts: 0,
        }
    }
}
