//! Signals that wake or stop tasks, and points in time.

use {
    async_channel::{Receiver, Sender},
    futures::future::select,
    std::{
        pin::pin,
        sync::{
            Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Locks a mutex even if another thread panicked while it held it: a fake keeps working with the state it
/// has.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the time `span_ms` later. Longer spans are cut to a day, since a huge one would overflow the
/// clock.
pub fn after_ms(now: Instant, span_ms: u64) -> Instant {
    const DAY_MS: u64 = 86_400_000;
    now + Duration::from_millis(span_ms.min(DAY_MS))
}

/// Wakes all waiters at each call of `notify`.
#[derive(Debug)]
pub struct Signal(Mutex<(Sender<()>, Receiver<()>)>);

/// Waits for the first notification after its own creation.
#[derive(Debug, Clone)]
pub struct Waiter(Receiver<()>);

impl Default for Signal {
    fn default() -> Self {
        Self(Mutex::new(async_channel::bounded(1)))
    }
}

impl Signal {
    /// Wakes all waiters that were created before.
    pub fn notify(&self) {
        *lock(&self.0) = async_channel::bounded(1);
    }

    /// Creates a waiter. It misses no notification after this call, even if the wait starts later.
    pub fn waiter(&self) -> Waiter {
        Waiter(lock(&self.0).1.clone())
    }
}

impl Waiter {
    /// Returns when the signal is notified or dropped.
    pub async fn wait(self) {
        // Nothing is sent over the channel, so this returns only when it is closed.
        let _closed = self.0.recv().await;
    }

    /// Runs `work` until it completes; drops it unfinished when the signal is notified or dropped.
    pub async fn run_until_signal(self, work: impl Future<Output = ()>) {
        select(pin!(self.wait()), pin!(work)).await;
    }
}

/// Simulates a frozen process: tasks wait here until it is unfrozen.
#[derive(Debug, Default)]
pub struct Freeze {
    is_frozen: AtomicBool,
    changed: Signal,
}

impl Freeze {
    pub fn set(&self, is_frozen: bool) {
        self.is_frozen.store(is_frozen, Ordering::SeqCst);
        self.changed.notify();
    }

    pub async fn wait_while_frozen(&self) {
        loop {
            let changed = self.changed.waiter();
            if !self.is_frozen.load(Ordering::SeqCst) {
                return;
            }
            changed.wait().await;
        }
    }
}
