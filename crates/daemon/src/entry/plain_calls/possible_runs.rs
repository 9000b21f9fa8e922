use {
    super::super::answers::CallerAnswer,
    std::sync::atomic::{AtomicU32, Ordering},
};

/// Counts the attempts of a call that may have run, also while they are in flight, and tells the caller's answer
/// whether there are any.
///
/// Guards against a status that promises that nothing ran, after one of two attempts was confirmed not to have run
/// while the other one is in flight.
#[derive(Debug)]
pub struct PossibleRuns<'a> {
    answer: &'a CallerAnswer<'a>,
    count: AtomicU32,
}

impl<'a> PossibleRuns<'a> {
    /// Returns a count for a call that this instance hasn't sent yet; a peer may have done so, so that `count` targets
    /// may have run it.
    pub fn new(answer: &'a CallerAnswer<'a>, count: u32) -> Self {
        Self {
            answer,
            count: AtomicU32::new(count),
        }
    }

    /// Returns the number of attempts that may have run.
    pub fn count(&self) -> u32 {
        self.count.load(Ordering::Relaxed)
    }

    /// Counts an attempt. Called before its first byte is sent.
    pub fn add(&self) {
        self.count.fetch_add(1, Ordering::Relaxed);
        self.answer.set_may_have_run(true);
    }

    /// Removes an attempt whose target confirmed that it hasn't run.
    pub fn remove(&self) {
        let former = self.count.fetch_sub(1, Ordering::Relaxed);
        self.answer.set_may_have_run(former > 1);
    }
}
