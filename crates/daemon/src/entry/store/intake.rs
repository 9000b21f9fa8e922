use {
    super::unreadable_lines::UnreadableLines,
    crate::entry::{decision_line::Decision, entry_state::EntryState},
    std::sync::Arc,
    whinlatch_platform::{Change, StoreFault},
    whinlatch_serving::targets::{
        ChangeOutcome, EvacuationChange, PublishedChanges, TargetChange, TargetState,
    },
};

/// Limit for the error in a log line on an unreadable entry, in characters: other writers may store
/// entries of a megabyte, and the error repeats a part of them.
const MAX_FAULT_CHARS: usize = 400;

/// Applies what the store returns and logs what can't be read.
pub struct Intake<'a> {
    state: &'a EntryState,
    /// Limits the lines on unreadable entries.
    unreadable: UnreadableLines,
}

impl<'a> Intake<'a> {
    /// Creates an intake without any logged lines.
    pub fn new(state: &'a EntryState) -> Self {
        Self {
            state,
            unreadable: UnreadableLines::default(),
        }
    }

    /// Applies changes one by one, in order.
    pub fn apply(&mut self, changes: Vec<Result<Change, StoreFault>>) {
        let now = self.state.now();
        for change in self.apply_operators_changes(changes).targets {
            let outcome = self.state.serving().apply_store_change(now, &change);
            self.log_change(&change, outcome);
        }
        self.state.notify_if_ready();
    }

    /// Applies the pages of a full read. Targets that it shows as ready aren't logged: an instance that starts
    /// reads hundreds of them.
    pub fn apply_full_read(&self, revision: u64, published: PublishedChanges) {
        let now = self.state.now();
        let outcomes = self
            .state
            .serving()
            .apply_store_snapshot(now, revision, published);
        self.state.notify_if_ready();
        for (change, outcome) in &outcomes {
            let is_ready =
                change.entry.as_ref().map(|entry| entry.state) == Some(TargetState::Ready);
            if !is_ready {
                self.log_change(change, *outcome);
            }
        }
    }

    fn log_change(&self, change: &TargetChange, outcome: ChangeOutcome) {
        match outcome {
            ChangeOutcome::Applied => self.state.log(&Decision::target(change, "store")),
            ChangeOutcome::Unconfirmed => self.log_unconfirmed(change),
            ChangeOutcome::Known => {}
        }
    }

    fn log_unconfirmed(&self, change: &TargetChange) {
        let now = self.state.now();
        self.state.metrics.record_unconfirmed_removal();
        let serving = self.state.serving();
        self.state.log(&Decision::RemovalUnconfirmed {
            target: change.name.to_string(),
            revision: change.revision,
            store_role: serving.store_role(now).name(),
            is_store_lost: serving.is_store_lost(),
            regained_ms_ago: serving.store_regained_at().map(|at| now.since(at)),
        });
    }

    /// Applies the configurations and evacuations among the changes. Returns the evacuations, and the changes of
    /// targets unapplied.
    pub fn apply_operators_changes(
        &mut self,
        changes: Vec<Result<Change, StoreFault>>,
    ) -> PublishedChanges {
        let mut published = PublishedChanges::default();
        for change in changes {
            match change {
                Ok(Change::Target(change)) => {
                    self.log_unknown_service(&change);
                    published.targets.push(change);
                }
                Ok(Change::UnreadableTarget(change, fault)) => {
                    self.log_unreadable(&fault.to_string());
                    published.targets.push(change);
                }
                Ok(Change::Evacuation(change)) => {
                    self.apply_evacuation(&change);
                    published.evacuations.push(change);
                }
                Ok(Change::Configuration(configuration, text)) => {
                    let version = configuration.version;
                    if self
                        .state
                        .serving()
                        .activate_configuration(*configuration, text)
                    {
                        let source = "store";
                        self.state.log(&Decision::Configured { version, source });
                    }
                }
                Err(fault) => self.log_unreadable(&fault.to_string()),
            }
        }
        published
    }

    fn apply_evacuation(&self, change: &EvacuationChange) {
        let now = self.state.now();
        if self.state.serving().apply_evacuation(now, change) {
            self.state.log_evacuation(change, "store");
        }
    }

    /// Logs a target whose service isn't published: it gets no requests.
    fn log_unknown_service(&mut self, change: &TargetChange) {
        let Some(entry) = &change.entry else {
            return;
        };
        let configuration = self.state.serving().configuration().map(Arc::clone);
        if configuration.is_some_and(|published| published.service(&entry.service).is_none()) {
            let (name, service) = (&change.name, &entry.service);
            let fault = format!("the entry of `{name}`: no service is called `{service}`");
            self.log_unreadable(&fault);
        }
    }

    fn log_unreadable(&mut self, fault: &str) {
        if !self.unreadable.try_take(self.state.now()) {
            self.state.metrics.record_dropped_log_line();
            return;
        }
        let mut fault = fault.to_owned();
        if let Some((cut, _)) = fault.char_indices().nth(MAX_FAULT_CHARS) {
            fault.truncate(cut);
        }
        self.state.log(&Decision::Unreadable { fault });
    }
}
