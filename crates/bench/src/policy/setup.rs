use {
    super::{arrivals::Arrival, baseline::Rule, faults::Faults, mix::Mix},
    whinlatch_wire::caller::Outcome,
};

/// The decision logic that each daemon runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The core of whinlatch.
    Whinlatch,
    /// A common load-balancing rule.
    Baseline(Rule),
}

/// Parameters of one simulation run.
#[derive(Debug)]
pub struct Setup<'a> {
    /// Mix from which requests are drawn.
    pub mix: &'a Mix,
    /// Mix whose mean work sets the request rate; it may have bands that `mix` lacks.
    pub load_mix: &'a Mix,
    /// Decision logic of all daemons.
    pub policy: Policy,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of targets.
    pub targets: usize,
    /// Offered work as a fraction of the capacity of all engines.
    pub load: f64,
    /// Seed of all random generators.
    pub seed: u64,
    /// Faults to inject.
    pub faults: &'a Faults,
}

/// A request and its course through the simulation.
#[derive(Debug)]
pub struct RequestTrace {
    /// Arrival of the request.
    pub arrival: Arrival,
    /// Time of the first token of the latest attempt that had one, in µs; a broken answer is generated
    /// again from its start.
    pub first_token_us: Option<u64>,
    /// Time of its end, in µs, and its outcome; absent while it is open.
    pub end: Option<(u64, Outcome)>,
    /// Target of its first attempt; absent if none was dispatched.
    pub first_target: Option<usize>,
    /// Number of attempts dispatched.
    pub attempts: u32,
}

impl RequestTrace {
    /// Creates the trace of a request that hasn't arrived yet.
    pub fn new(arrival: Arrival) -> Self {
        Self {
            arrival,
            first_token_us: None,
            end: None,
            first_target: None,
            attempts: 0,
        }
    }
}
