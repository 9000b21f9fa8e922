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
    /// What waits there.
    pub load: LoadBook,
    /// Time that it takes to read a prompt, as learnt.
    pub cost: PrefillCost,
    stated_tokens_per_s: u64,
    learnt: CostSums,
}

impl TargetState {
    /// A target of which only the record is known; `fleet` is what others taught.
    pub fn new(record: &TargetRecord, fleet: &CostSums) -> Self {
        let stated_tokens_per_s = stated_rate(record);
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

    /// Follows the record of the target.
    pub fn follow(&mut self, record: &TargetRecord) {
        self.address = record.address;
        self.stated_tokens_per_s = stated_rate(record);
    }

    /// Learns from a prompt that was read there, and teaches the others' first guess.
    pub fn learn(&mut self, sample: &ReadSample, fleet: &mut CostSums) {
        self.learnt.learn(sample, self.stated_tokens_per_s);
        fleet.learn(sample, self.stated_tokens_per_s);
        self.cost = self.learnt.cost(fleet, self.stated_tokens_per_s);
    }

    /// Notes the run that answers at the address. A new run starts afresh.
    pub fn seen_as(&mut self, incarnation: Incarnation) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        self.incarnation = Some(incarnation);
        self.health = TargetHealth::Serving;
        self.report = None;
        self.load = LoadBook::default();
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

fn stated_rate(record: &TargetRecord) -> u64 {
    match &record.role {
        TargetRole::Engine {
            prefill_tokens_per_s,
            ..
        } => *prefill_tokens_per_s,
        TargetRole::Service { .. } => 0,
    }
}
