use {
    super::super::entry_state::EntryState,
    std::sync::{Mutex, MutexGuard, PoisonError},
    whinlatch_core::MonoMs,
    whinlatch_serving::{Serving, names::TargetId, targets::TargetEntry},
};

/// State of an attempt, for the record of its target.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AttemptState {
    /// It counts towards the target's load, and nothing was sent.
    Placed,
    /// It began at this time.
    Begun(MonoMs),
    /// Its end was recorded.
    Ended { elapsed_ms: u64 },
}

/// Counts an attempt towards its target's load until its end is recorded, or until dropped: an attempt that is
/// cancelled after it began counts as given up without an answer.
#[derive(Debug)]
pub struct CallGuard<'a> {
    state: &'a EntryState,
    target: TargetEntry,
    attempt: Mutex<AttemptState>,
}

impl<'a> CallGuard<'a> {
    /// Takes over an attempt that was placed at a target.
    pub fn new(state: &'a EntryState, target: TargetEntry) -> Self {
        Self {
            state,
            target,
            attempt: Mutex::new(AttemptState::Placed),
        }
    }

    /// Returns the target's entry, as known when it was chosen.
    pub fn target(&self) -> &TargetEntry {
        &self.target
    }

    /// Records that the attempt begins.
    pub fn begin(&self) {
        *self.lock() = AttemptState::Begun(self.state.now());
    }

    /// Returns the time from the begin of the attempt to its end, or until now, in ms.
    pub fn elapsed_ms(&self) -> u64 {
        match *self.lock() {
            AttemptState::Placed => 0,
            AttemptState::Begun(begun_at) => self.state.now().since(begun_at),
            AttemptState::Ended { elapsed_ms } => elapsed_ms,
        }
    }

    /// Records the end of the attempt; `failed` if the target didn't serve it.
    pub fn record_ended(&self, failed: bool) {
        self.record_end(|serving, now, target, took_ms| {
            serving.record_call_ended(now, target, took_ms, failed);
        });
    }

    /// Records that no connection to the target could be opened, or that the target takes no requests any more.
    pub fn record_not_sent(&self) {
        self.record_end(|serving, now, target, _waited_ms| {
            serving.record_call_not_sent(now, target);
        });
    }

    /// Records that the attempt is cancelled because another one succeeded, which took `winner_ms`.
    pub fn record_overtaken(&self, winner_ms: u64) {
        self.record_end(|serving, now, target, waited_ms| {
            serving.record_call_overtaken(now, target, waited_ms, winner_ms as f64);
        });
    }

    /// Ends the attempt once: withdraws it if nothing was sent, or records it with the time since it began, in ms.
    fn record_end(&self, record: impl FnOnce(&mut Serving, MonoMs, &TargetId, f64)) {
        let target = &self.target.id;
        match self.end() {
            AttemptState::Placed => self.state.serving().record_call_withdrawn(target),
            AttemptState::Begun(begun_at) => {
                let now = self.state.now();
                let elapsed_ms = now.since(begun_at) as f64;
                record(&mut self.state.serving(), now, target, elapsed_ms);
            }
            AttemptState::Ended { .. } => {}
        }
    }

    /// Ends the attempt and returns its former state.
    fn end(&self) -> AttemptState {
        let elapsed_ms = self.elapsed_ms();
        std::mem::replace(&mut *self.lock(), AttemptState::Ended { elapsed_ms })
    }

    fn lock(&self) -> MutexGuard<'_, AttemptState> {
        self.attempt.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.record_end(Serving::record_call_unanswered);
    }
}
