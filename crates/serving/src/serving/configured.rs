//! What the store publishes, read here or told by peers.

use {
    super::Serving,
    crate::{catalog::Configuration, fleet::PublishedText, targets::TargetChange},
    std::sync::Arc,
    whinlatch_core::MonoMs,
};

impl Serving {
    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Version of the configuration in force, 0 if there is none.
    pub fn version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version)
    }

    /// Puts a version in force unless a newer one is. Versions only go up within a run, whatever
    /// order the store and the peers tell them in: callers would see a change undone otherwise.
    pub fn activate_configuration(&mut self, configuration: Configuration, text: String) -> bool {
        if configuration.version <= self.version() {
            return false;
        }
        let published = PublishedText {
            version: configuration.version,
            text,
        };
        self.configuration = Some(Arc::new(configuration));
        self.published = Some(published);
        true
    }

    /// The store didn't answer.
    pub fn store_failed(&mut self, now: MonoMs) {
        self.targets.store_failed();
        self.cut_off_since.get_or_insert(now);
    }

    /// The store answers.
    pub fn store_answers(&mut self, now: MonoMs) {
        self.targets.store_answers(now);
        self.cut_off_since = None;
        self.following.readmit(self.own.peer_address);
    }

    /// Whether the store didn't answer when it was last asked.
    pub fn is_store_lost(&self) -> bool {
        self.targets.is_store_lost()
    }

    /// Names of the targets that take requests, in order.
    pub fn ready_targets(&self) -> Vec<String> {
        self.targets.ready_names()
    }

    /// Takes in a change of a target that the store published. Returns whether it takes effect.
    pub fn apply_store_change(&mut self, now: MonoMs, change: TargetChange) -> bool {
        self.targets.apply_store_change(now, change).is_some()
    }

    /// Takes in all targets that the store held at a revision.
    pub fn apply_store_snapshot(&mut self, now: MonoMs, revision: u64, all: Vec<TargetChange>) {
        self.targets.apply_store_snapshot(now, revision, all);
    }
}
