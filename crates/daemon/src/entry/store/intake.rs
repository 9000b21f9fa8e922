use {
    super::unreadable_lines::UnreadableLines,
    crate::entry::{decision_line::Decision, entry_state::EntryState},
    std::sync::Arc,
    whinlatch_platform::{Change, StoreFault},
    whinlatch_serving::targets::TargetChange,
};

/// Characters of a line on something unreadable: others may write entries of a megabyte, and the
/// reason of a fault repeats a part of them.
const MOST_FAULT_CHARS: usize = 400;

/// Takes in what the store tells.
pub struct Intake<'a> {
    state: &'a EntryState,
    /// Lines that were written on what can't be read.
    unreadable: UnreadableLines,
}

impl<'a> Intake<'a> {
    /// Nothing was taken in yet.
    pub fn new(state: &'a EntryState) -> Self {
        Self {
            state,
            unreadable: UnreadableLines::default(),
        }
    }

    /// Takes in changes one by one.
    pub fn apply(&mut self, changes: Vec<Result<Change, StoreFault>>) {
        let now = self.state.now();
        for change in self.apply_configurations(changes) {
            let line = Decision::target(&change, "store");
            if self.state.serving().apply_store_change(now, change) {
                self.state.log(&line);
            }
        }
        self.state.note_published();
    }

    /// Takes in configurations and returns the changes of targets.
    pub fn apply_configurations(
        &mut self,
        changes: Vec<Result<Change, StoreFault>>,
    ) -> Vec<TargetChange> {
        let mut targets = Vec::new();
        for change in changes {
            match change {
                Ok(Change::Target(change)) => {
                    self.note_unknown_service(&change);
                    targets.push(change);
                }
                Ok(Change::UnreadableTarget(change, fault)) => {
                    self.note_unreadable(&fault.to_string());
                    targets.push(change);
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
                Err(fault) => self.note_unreadable(&fault.to_string()),
            }
        }
        targets
    }

    /// Notes a target that is of no service that is published: nobody sends it anything.
    fn note_unknown_service(&mut self, change: &TargetChange) {
        let Some(entry) = &change.entry else {
            return;
        };
        let configuration = self.state.serving().configuration().map(Arc::clone);
        if configuration.is_some_and(|published| published.service(&entry.service).is_none()) {
            let (name, service) = (&change.name, &entry.service);
            let fault = format!("the entry of `{name}`: no service is called `{service}`");
            self.note_unreadable(&fault);
        }
    }

    fn note_unreadable(&mut self, fault: &str) {
        if !self.unreadable.take(self.state.now()) {
            self.state.metrics.note_dropped_log_line();
            return;
        }
        let mut fault = fault.to_owned();
        if let Some((cut, _)) = fault.char_indices().nth(MOST_FAULT_CHARS) {
            fault.truncate(cut);
        }
        self.state.log(&Decision::Unreadable { fault });
    }
}
