use {super::EngineSpec, crate::names::ServiceName};

/// A published service, to which routes lead.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections to one of its targets, from all instances together.
    pub max_connections: u32,
    /// Timing of its model engines; `None` if its targets are no engines.
    pub engine: Option<EngineSpec>,
    /// How its targets behave after a start; `None` if they take the usual load from the beginning.
    pub cold_start: Option<ColdStart>,
}

/// How targets of a service behave while they are cold: after a start, and whenever they say so.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which a target is cold after its start, in ms.
    pub duration_ms: u64,
    /// Requests per second that a cold target tolerates from all instances together; it crashes well above.
    pub requests_per_s: f64,
}
