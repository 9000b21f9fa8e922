//! Wakes whoever waits for a change.

use {
    async_channel::{Receiver, Sender},
    std::sync::{Mutex, MutexGuard, PoisonError},
};

/// Locks also after a panic of another holder: a fake goes on with what it has.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Wakes all that wait, however many there are, and can be used again and again.
#[derive(Debug)]
pub struct Signal(Mutex<(Sender<()>, Receiver<()>)>);

/// Waits for the next signal after it was made.
#[derive(Debug)]
pub struct Waiter(Receiver<()>);

impl Signal {
    pub fn new() -> Self {
        Self(Mutex::new(async_channel::bounded(1)))
    }

    /// Wakes all waiters that were made before.
    pub fn notify(&self) {
        *lock(&self.0) = async_channel::bounded(1);
    }

    /// A change that comes after this call isn't missed, even if the wait begins later.
    pub fn waiter(&self) -> Waiter {
        Waiter(lock(&self.0).1.clone())
    }
}

impl Waiter {
    /// Returns when the signal was given or its owner is gone.
    pub async fn wait(self) {
        // The channel is never written to, so this ends only by its closure.
        let _closed = self.0.recv().await;
    }
}
