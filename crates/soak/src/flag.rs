use std::{
    sync::{Condvar, Mutex, PoisonError},
    time::Duration,
};

/// A one-way signal between threads: once set, it stays set, and all waiting threads resume.
#[derive(Debug, Default)]
pub struct Flag {
    is_set: Mutex<bool>,
    changed: Condvar,
}

impl Flag {
    /// Sets the flag and wakes all waiting threads.
    pub fn set(&self) {
        *self.is_set.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.changed.notify_all();
    }

    /// Returns whether the flag is set, without waiting.
    pub fn is_set(&self) -> bool {
        *self.is_set.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the flag is set, for `timeout` at most. Returns whether it is set.
    pub fn wait(&self, timeout: Duration) -> bool {
        let is_set = self.is_set.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self
            .changed
            .wait_timeout_while(is_set, timeout, |is_set| !*is_set);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }
}
