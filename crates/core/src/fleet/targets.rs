use {
    super::{CostSums, ReadSample, TargetState},
    crate::{records::InForce, time::MonoMs},
    std::{collections::HashMap, net::SocketAddr},
    whinlatch_wire::{
        ids::{Incarnation, TargetName},
        peer::TargetHealth,
        platform::{ListedState, ListedTarget},
        target::LoadReport,
    },
};

/// Reads in a row without an answer after which a target gets nothing new.
const MISSES_BEFORE_GONE: u32 = 3;

/// The targets that the records name, in the order of their names.
#[derive(Debug)]
pub struct Targets {
    states: Vec<(TargetName, TargetState)>,
    places: HashMap<TargetName, usize>,
    epoch: u64,
    learnt: CostSums,
}

impl Default for Targets {
    fn default() -> Self {
        Self {
            states: Vec::new(),
            places: HashMap::new(),
            epoch: 0,
            learnt: CostSums::stated(),
        }
    }
}

impl Targets {
    /// Follows the records: adds targets that they name, drops others. Places change.
    pub fn follow(&mut self, in_force: &InForce) {
        let mut before: HashMap<TargetName, TargetState> = self.states.drain(..).collect();
        self.states = in_force
            .targets()
            .map(|record| {
                let known = before.remove(&record.target);
                let mut state = known.unwrap_or_else(|| TargetState::new(record, &self.learnt));
                state.follow(record);
                (record.target.clone(), state)
            })
            .collect();
        let names = self.states.iter().map(|(name, _)| name.clone());
        self.places = names.zip(0..).collect();
        self.epoch += 1;
    }

    /// Changes whenever places or records of targets may have.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Where a target stands; holds until [`Self::epoch`] changes.
    pub fn place(&self, target: &TargetName) -> Option<usize> {
        self.places.get(target).copied()
    }

    /// The target at a place.
    pub fn at(&self, place: usize) -> &TargetState {
        &self.states[place].1
    }

    /// The name of the target at a place.
    pub fn name_at(&self, place: usize) -> &TargetName {
        &self.states[place].0
    }

    /// Learns from a prompt that a target read.
    pub fn learn(&mut self, target: &TargetName, sample: &ReadSample) {
        if let Some(place) = self.places.get(target) {
            self.states[*place].1.learn(sample, &mut self.learnt);
        }
    }

    /// Takes in an entry of the platform's list.
    pub fn listed(&mut self, listed: &ListedTarget) -> bool {
        let Some(state) = self.get_mut(&listed.target) else {
            return false;
        };
        if state.incarnation.is_none() {
            state.seen_as(listed.incarnation);
        }
        match listed.state {
            ListedState::Live => false,
            ListedState::Leaving => state.worsen(listed.incarnation, TargetHealth::Leaving),
        }
    }

    /// Takes in a load report. Returns whether the target was found to leave by it.
    pub fn reported(&mut self, now: MonoMs, target: &TargetName, report: LoadReport) -> bool {
        let Some(state) = self.get_mut(target) else {
            return false;
        };
        state.seen_as(report.incarnation);
        state.misses = 0;
        state.reported = now;
        let leaves = report.leaving && state.worsen(report.incarnation, TargetHealth::Leaving);
        state.load.reported(now, &report, state.cost.token_ms);
        state.report = Some(report);
        leaves
    }

    /// Notes that a read got no answer. Returns whether the target is now held to be gone.
    pub fn missed(&mut self, target: &TargetName) -> bool {
        let Some(state) = self.get_mut(target) else {
            return false;
        };
        state.misses += 1;
        if state.misses < MISSES_BEFORE_GONE {
            return false;
        }
        // The run is forgotten, not marked: the same run may answer again after a partition.
        state.incarnation.take().is_some()
    }

    /// Worsens the health of a run. Returns whether it was news.
    pub fn worsen(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
        health: TargetHealth,
    ) -> bool {
        self.get_mut(target)
            .is_some_and(|state| state.worsen(incarnation, health))
    }

    /// Targets whose next report is due, with their addresses; notes that it is asked for.
    pub fn due_for_report(&mut self, now: MonoMs, every_ms: u64) -> Vec<(TargetName, SocketAddr)> {
        self.states
            .iter_mut()
            .filter(|(_, state)| state.asked.is_none_or(|asked| now.since(asked) >= every_ms))
            .map(|(name, state)| {
                state.asked = Some(now);
                (name.clone(), state.address)
            })
            .collect()
    }

    /// A target by name.
    pub fn get(&self, target: &TargetName) -> Option<&TargetState> {
        self.place(target).map(|place| self.at(place))
    }

    /// A target by name, to note work sent and ended.
    pub fn get_mut(&mut self, target: &TargetName) -> Option<&mut TargetState> {
        let place = self.place(target)?;
        Some(&mut self.states[place].1)
    }

    /// All targets by name.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, &TargetState)> {
        self.states.iter().map(|(name, state)| (name, state))
    }
}
