use {
    super::{CostSums, LoadBook, PrefillCost, ReadSample},
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
    pub reported: MonoMs,
    /// Time at which a report was last requested; `None` before the first request.
    pub asked: Option<MonoMs>,
    /// Requests of this daemon that are in flight there.
    pub in_flight: u32,
    /// Consecutive report requests without an answer.
    pub misses: u32,
    /// Queued and remaining work.
    pub load: LoadBook,
    /// Prefill cost as learned from samples so far.
    pub cost: PrefillCost,
    stated_tokens_per_s: u64,
    learnt: CostSums,
}

impl TargetState {
    /// Creates a target of which only the record is known. `fleet` gives the cost learned on other
    /// targets.
    pub fn new(record: &TargetRecord, fleet: &CostSums) -> Self {
        let stated_tokens_per_s = record_rate(record);
        let learnt = CostSums::default();
        Self {
            incarnation: None,
            address: record.address,
            health: TargetHealth::Serving,
            report: None,
            reported: MonoMs::default(),
            asked: None,
            in_flight: 0,
            misses: 0,
            load: LoadBook::default(),
            cost: learnt.cost(fleet, stated_tokens_per_s),
            stated_tokens_per_s,
            learnt,
        }
    }

    /// Applies a changed record: its address and stated rate.
    pub fn follow(&mut self, record: &TargetRecord) {
        self.address = record.address;
        self.stated_tokens_per_s = record_rate(record);
    }

    /// Adds a prefill sample to this target's cost and to the fleet's, which is the first estimate
    /// for targets without samples.
    pub fn learn(&mut self, sample: &ReadSample, fleet: &mut CostSums) {
        self.learnt.learn(sample, self.stated_tokens_per_s);
        fleet.learn(sample, self.stated_tokens_per_s);
        self.cost = self.learnt.cost(fleet, self.stated_tokens_per_s);
    }

    /// Records which run answers at the address. A new run starts without load and with fresh
    /// health.
    pub fn seen_as(&mut self, incarnation: Incarnation) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        self.incarnation = Some(incarnation);
        self.health = TargetHealth::Serving;
        self.report = None;
        self.load = LoadBook::default();
    }

    /// Worsens the health of the run `incarnation`; never improves it. Returns whether it changed.
    pub fn worsen(&mut self, incarnation: Incarnation, health: TargetHealth) -> bool {
        if self.incarnation != Some(incarnation) || self.health >= health {
            return false;
        }
        self.health = health;
        true
    }

    /// Returns whether new requests may be sent: its run is known and serving.
    pub fn takes_work(&self) -> bool {
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
