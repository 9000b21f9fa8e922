use {
    crate::time::MonoMs,
    std::net::SocketAddr,
    whinlatch_wire::{ids::Incarnation, peer::TargetHealth, target::LoadReport},
};

/// What is known of a target beyond its record.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// Its current run, once known.
    pub incarnation: Option<Incarnation>,
    /// Its address: from the list if it is listed, else from its record.
    pub address: SocketAddr,
    /// What this run is held to be. Only grows within one incarnation.
    pub health: TargetHealth,
    /// Its last load report.
    pub report: Option<LoadReport>,
    /// When the report came.
    pub reported: MonoMs,
    /// When a report was last asked for.
    pub asked: Option<MonoMs>,
    /// Requests of this daemon in flight there.
    pub in_flight: u32,
    /// Reads in a row that it didn't answer.
    pub misses: u32,
}

impl TargetState {
    /// A target of which only the address is known.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            incarnation: None,
            address,
            health: TargetHealth::Serving,
            report: None,
            reported: MonoMs::default(),
            asked: None,
            in_flight: 0,
            misses: 0,
        }
    }

    /// Notes the run that answers at the address. A new run starts afresh.
    pub fn seen_as(&mut self, incarnation: Incarnation) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        self.incarnation = Some(incarnation);
        self.health = TargetHealth::Serving;
        self.report = None;
    }

    /// Worsens the health of the run `incarnation`; never betters it. Returns whether it changed.
    pub fn worsen(&mut self, incarnation: Incarnation, health: TargetHealth) -> bool {
        if self.incarnation != Some(incarnation) || self.health >= health {
            return false;
        }
        self.health = health;
        true
    }

    /// Whether new work may be sent.
    pub fn takes_work(&self) -> bool {
        self.incarnation.is_some() && self.health == TargetHealth::Serving
    }
}
