use {
    super::{CostRegression, LoadTracker, PrefillCost, PrefillSample},
    crate::time::MonoMs,
    std::net::SocketAddr,
    whinlatch_wire::{
        ids::Incarnation,
        peer::TargetHealth,
        record::{TargetRecord, TargetRole},
        target::LoadReport,
    },
};

/// Runtime state of a target: what its record doesn't say.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// Current run; `None` until it is known, and again after too many missed reports.
    pub incarnation: Option<Incarnation>,
    /// Address from its record.
    pub address: SocketAddr,
    /// Health of the current run. It only gets worse within one incarnation.
    pub health: TargetHealth,
    /// Last load report of the current run.
    pub report: Option<LoadReport>,
    /// Arrival time of the last report.
    pub reported_at: MonoMs,
    /// Time at which a report was last requested; `None` before the first request.
    pub report_requested_at: Option<MonoMs>,
    /// Requests of this daemon that are in flight there.
    pub in_flight: u32,
    /// Consecutive report requests without an answer.
    pub missed_reports: u32,
    /// Queued and remaining work.
    pub load: LoadTracker,
    /// Prefill cost as learned from samples so far.
    pub cost: PrefillCost,
    stated_tokens_per_s: u64,
    cost_samples: CostRegression,
}

impl TargetState {
    /// Creates a target of which only the record is known. `fleet` gives the cost learned on other
    /// targets.
    pub fn new(record: &TargetRecord, fleet: &CostRegression) -> Self {
        let stated_tokens_per_s = record_rate(record);
        let cost_samples = CostRegression::default();
        Self {
            incarnation: None,
            address: record.address,
            health: TargetHealth::Serving,
            report: None,
            reported_at: MonoMs::default(),
            report_requested_at: None,
            in_flight: 0,
            missed_reports: 0,
            load: LoadTracker::default(),
            cost: cost_samples.cost(fleet, stated_tokens_per_s),
            stated_tokens_per_s,
            cost_samples,
        }
    }

    /// Applies a changed record: its address and stated rate.
    pub fn apply_record(&mut self, record: &TargetRecord) {
        self.address = record.address;
        self.stated_tokens_per_s = record_rate(record);
    }

    /// Adds a prefill sample to this target's cost and to the fleet's, which is the first estimate
    /// for targets without samples.
    pub fn add_sample(&mut self, sample: &PrefillSample, fleet: &mut CostRegression) {
        self.cost_samples
            .add_sample(sample, self.stated_tokens_per_s);
        fleet.add_sample(sample, self.stated_tokens_per_s);
        self.cost = self.cost_samples.cost(fleet, self.stated_tokens_per_s);
    }

    /// Records which run answers at the address. A new run starts without load and with fresh
    /// health.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        self.incarnation = Some(incarnation);
        self.health = TargetHealth::Serving;
        self.report = None;
        self.load = LoadTracker::default();
    }

    /// Worsens the health of the run `incarnation`; never improves it. Returns whether it changed.
    pub fn worsen_health(&mut self, incarnation: Incarnation, health: TargetHealth) -> bool {
        if self.incarnation != Some(incarnation) || self.health >= health {
            return false;
        }
        self.health = health;
        true
    }

    /// Returns whether new requests may be sent: its run is known and serving.
    pub fn accepts_work(&self) -> bool {
        self.incarnation.is_some() && self.health == TargetHealth::Serving
    }
}

fn record_rate(record: &TargetRecord) -> u64 {
    match &record.role {
        TargetRole::Engine {
            prefill_tokens_per_s,
            ..
        } => *prefill_tokens_per_s,
        TargetRole::Service { .. } => 0,
    }
}
