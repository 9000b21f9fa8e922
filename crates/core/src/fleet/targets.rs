use {
    super::{CostRegression, PrefillSample, TargetState},
    crate::{records::InForce, time::MonoMs},
    std::{collections::HashMap, net::SocketAddr},
    whinlatch_wire::{
        ids::{Incarnation, TargetName},
        peer::TargetHealth,
        platform::{ListedState, ListedTarget},
        target::LoadReport,
    },
};

/// Consecutive report requests without an answer after which a target gets no new requests.
const MAX_MISSED_REPORTS: u32 = 3;

/// The targets that records name, sorted by name and addressed by index.
#[derive(Debug)]
pub struct Targets {
    states: Vec<(TargetName, TargetState)>,
    index_by_name: HashMap<TargetName, usize>,
    epoch: u64,
    fleet_cost: CostRegression,
}

impl Default for Targets {
    fn default() -> Self {
        Self {
            states: Vec::new(),
            index_by_name: HashMap::new(),
            epoch: 0,
            fleet_cost: CostRegression::prior(),
        }
    }
}

impl Targets {
    /// Applies the records in force: adds targets that they name and drops the others. Indices
    /// change.
    pub fn apply_records(&mut self, in_force: &InForce) {
        let mut previous: HashMap<TargetName, TargetState> = self.states.drain(..).collect();
        self.states = in_force
            .targets()
            .map(|record| {
                let state = previous.remove(&record.target);
                let mut state = state.unwrap_or_else(|| TargetState::new(record, &self.fleet_cost));
                state.apply_record(record);
                (record.target.clone(), state)
            })
            .collect();
        let names = self.states.iter().map(|(name, _)| name.clone());
        self.index_by_name = names.zip(0..).collect();
        self.epoch += 1;
    }

    /// Returns a counter that grows whenever indices or records of targets may have changed.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the index of a target, valid until [`Self::epoch`] changes.
    pub fn index_of(&self, target: &TargetName) -> Option<usize> {
        self.index_by_name.get(target).copied()
    }

    /// Returns the target at an index; panics if there is none.
    pub fn at(&self, index: usize) -> &TargetState {
        &self.states[index].1
    }

    /// Returns the name of the target at an index; panics if there is none.
    pub fn name_at(&self, index: usize) -> &TargetName {
        &self.states[index].0
    }

    /// Adds a prefill sample of a target; ignored if no record names it.
    pub fn add_sample(&mut self, target: &TargetName, sample: &PrefillSample) {
        if let Some(index) = self.index_by_name.get(target) {
            self.states[*index]
                .1
                .add_sample(sample, &mut self.fleet_cost);
        }
    }

    /// Applies an entry of the platform's list. Returns whether the target was found to be leaving
    /// by it.
    pub fn apply_list_entry(&mut self, listed: &ListedTarget) -> bool {
        let Some(state) = self.get_mut(&listed.target) else {
            return false;
        };
        if state.incarnation.is_none() {
            state.set_incarnation(listed.incarnation);
        }
        match listed.state {
            ListedState::Live => false,
            ListedState::Leaving => state.worsen_health(listed.incarnation, TargetHealth::Leaving),
        }
    }

    /// Applies a load report. Returns whether the target was found to be leaving by it.
    pub fn apply_report(&mut self, now: MonoMs, target: &TargetName, report: LoadReport) -> bool {
        let Some(state) = self.get_mut(target) else {
            return false;
        };
        state.set_incarnation(report.incarnation);
        state.missed_reports = 0;
        state.reported_at = now;
        let is_leaving =
            report.leaving && state.worsen_health(report.incarnation, TargetHealth::Leaving);
        state.load.apply_report(now, &report, state.cost.token_ms);
        state.report = Some(report);
        is_leaving
    }

    /// Counts a report request without an answer. Returns whether the target gets no new requests from
    /// now on, until it reports again.
    pub fn record_missed_report(&mut self, target: &TargetName) -> bool {
        let Some(state) = self.get_mut(target) else {
            return false;
        };
        state.missed_reports += 1;
        if state.missed_reports < MAX_MISSED_REPORTS {
            return false;
        }
        // The run is cleared instead of marked `Gone`: it may answer again after a partition.
        state.incarnation.take().is_some()
    }

    /// Worsens the health of a run. Returns whether it changed.
    pub fn worsen_health(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
        health: TargetHealth,
    ) -> bool {
        self.get_mut(target)
            .is_some_and(|state| state.worsen_health(incarnation, health))
    }

    /// Returns the targets whose next report is due, with their addresses, and records the request.
    /// `interval_ms` is the time between two requests.
    pub fn due_for_report(
        &mut self,
        now: MonoMs,
        interval_ms: u64,
    ) -> Vec<(TargetName, SocketAddr)> {
        self.states
            .iter_mut()
            .filter(|(_, state)| {
                state
                    .report_requested_at
                    .is_none_or(|requested_at| now.since(requested_at) >= interval_ms)
            })
            .map(|(name, state)| {
                state.report_requested_at = Some(now);
                (name.clone(), state.address)
            })
            .collect()
    }

    /// Returns a target by name; `None` if no record names it.
    pub fn get(&self, target: &TargetName) -> Option<&TargetState> {
        self.index_of(target).map(|index| self.at(index))
    }

    /// Returns a target by name, to change its state; `None` if no record names it.
    pub fn get_mut(&mut self, target: &TargetName) -> Option<&mut TargetState> {
        let index = self.index_of(target)?;
        Some(&mut self.states[index].1)
    }

    /// Returns all targets with their names, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, &TargetState)> {
        self.states.iter().map(|(name, state)| (name, state))
    }
}
