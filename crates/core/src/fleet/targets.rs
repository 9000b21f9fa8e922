use {
    super::TargetState,
    crate::{records::InForce, time::MonoMs},
    std::{collections::BTreeMap, net::SocketAddr},
    whinlatch_wire::{
        ids::{Incarnation, TargetName},
        peer::TargetHealth,
        platform::{ListedState, ListedTarget},
        target::LoadReport,
    },
};

/// Reads in a row without an answer after which a target gets nothing new.
const MISSES_BEFORE_GONE: u32 = 3;

/// The targets that the records name.
#[derive(Debug, Default)]
pub struct Targets {
    by_name: BTreeMap<TargetName, TargetState>,
}

impl Targets {
    /// Follows the records: adds targets that they name, drops others.
    pub fn follow(&mut self, in_force: &InForce) {
        self.by_name
            .retain(|name, _| in_force.target(name).is_some());
        for record in in_force.targets() {
            let state = self
                .by_name
                .entry(record.target.clone())
                .or_insert_with(|| TargetState::new(record.address));
            state.address = record.address;
        }
    }

    /// Takes in an entry of the platform's list.
    pub fn listed(&mut self, listed: &ListedTarget) -> bool {
        let Some(state) = self.by_name.get_mut(&listed.target) else {
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
        let Some(state) = self.by_name.get_mut(target) else {
            return false;
        };
        state.seen_as(report.incarnation);
        state.misses = 0;
        state.reported = now;
        let leaves = report.leaving && state.worsen(report.incarnation, TargetHealth::Leaving);
        state.report = Some(report);
        leaves
    }

    /// Notes that a read got no answer. Returns whether the target is now held to be gone.
    pub fn missed(&mut self, target: &TargetName) -> bool {
        let Some(state) = self.by_name.get_mut(target) else {
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
        self.by_name
            .get_mut(target)
            .is_some_and(|state| state.worsen(incarnation, health))
    }

    /// Targets whose next report is due, with their addresses; notes that it is asked for.
    pub fn due_for_report(&mut self, now: MonoMs, every_ms: u64) -> Vec<(TargetName, SocketAddr)> {
        self.by_name
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
        self.by_name.get(target)
    }

    /// A target by name, to note work sent and ended.
    pub fn get_mut(&mut self, target: &TargetName) -> Option<&mut TargetState> {
        self.by_name.get_mut(target)
    }

    /// All targets by name.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, &TargetState)> {
        self.by_name.iter()
    }
}
