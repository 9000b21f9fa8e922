use std::{
    sync::{Condvar, Mutex, PoisonError},
    time::Duration,
};

/// A word that is given once, and wakes those that wait for it.
#[derive(Debug, Default)]
pub struct Flag {
    is_set: Mutex<bool>,
    changed: Condvar,
}

impl Flag {
    /// Gives the word.
    pub fn set(&self) {
        *self.is_set.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.changed.notify_all();
    }

    /// Whether the word was given.
    pub fn is_set(&self) -> bool {
        *self.is_set.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the word, for so long at most. Returns whether it was given.
    pub fn wait(&self, most: Duration) -> bool {
        let is_set = self.is_set.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self
            .changed
            .wait_timeout_while(is_set, most, |is_set| !*is_set);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }
}
