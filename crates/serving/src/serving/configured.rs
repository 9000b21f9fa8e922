//! Published configuration and targets, as read from the store or received from peers.

use {
    super::Serving,
    crate::{
        catalog::Configuration,
        fleet::PublishedText,
        names::FailureDomain,
        targets::{ChangeOutcome, EvacuationChange, PublishedChanges, TargetChange},
    },
    std::sync::Arc,
    whinlatch_core::MonoMs,
};

impl Serving {
    /// Returns the active configuration; `None` until the first one is known.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the version of the active configuration, 0 if there is none.
    pub fn version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version)
    }

    /// Activates a configuration unless the active one is at least as new, and returns whether it did.
    ///
    /// Versions only rise within a run, in whatever order the store and the peers deliver them. Otherwise
    /// callers would see a change being undone.
    pub fn activate_configuration(&mut self, configuration: Configuration, text: String) -> bool {
        if configuration.version <= self.version() {
            return false;
        }
        let published = PublishedText {
            version: configuration.version,
            text,
        };
        self.durations
            .retain(|route| configuration.has_route_named(route));
        self.configuration = Some(Arc::new(configuration));
        self.published = Some(published);
        true
    }

    /// Records that the store didn't answer.
    pub fn record_store_failure(&mut self, now: MonoMs) {
        self.targets.record_store_failure();
        self.store_lost_since.get_or_insert(now);
    }

    /// Records that the store answered, so that this instance may act as a relay again.
    pub fn record_store_answer(&mut self, now: MonoMs) {
        self.targets.record_store_answer(now);
        self.store_lost_since = None;
        self.followed_relays.readmit(self.own.peer_address);
    }

    /// Returns whether the last call to the store got no answer.
    pub fn is_store_lost(&self) -> bool {
        self.targets.is_store_lost()
    }

    /// Returns when the store answered this instance again after its last outage; `None` if there was none.
    pub fn store_regained_at(&self) -> Option<MonoMs> {
        self.targets.store_regained_at()
    }

    /// Returns whether a run is published and takes requests.
    pub fn takes_requests(&self, run: &str) -> bool {
        self.targets.ready_entry(run).is_some()
    }

    /// Returns the run ids of the targets that take requests, sorted.
    pub fn ready_targets(&self) -> Vec<String> {
        self.targets.ready_ids()
    }

    /// Applies a change of a target that was read from the store.
    pub fn apply_store_change(&mut self, now: MonoMs, change: &TargetChange) -> ChangeOutcome {
        self.targets.apply_store_change(now, change)
    }

    /// Applies the begin or end of an evacuation that was read from the store. Returns whether it is new.
    pub fn apply_evacuation(&mut self, now: MonoMs, change: &EvacuationChange) -> bool {
        self.targets.apply_evacuation(now, change)
    }

    /// Applies all targets and evacuations that the store had at a revision. Returns the changes of targets with
    /// their outcomes.
    pub fn apply_store_snapshot(
        &mut self,
        now: MonoMs,
        revision: u64,
        all: PublishedChanges,
    ) -> Vec<(TargetChange, ChangeOutcome)> {
        self.targets.apply_store_snapshot(now, revision, all)
    }

    /// Returns the failure domains whose targets must get nothing new, sorted.
    pub fn evacuated_domains(&self) -> Vec<FailureDomain> {
        self.targets.evacuated_domains().cloned().collect()
    }

    /// Returns the number of published targets in a failure domain.
    pub fn count_targets_in(&self, domain: &str) -> usize {
        self.targets.count_in_domain(domain)
    }
}
