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
}
