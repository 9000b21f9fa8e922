//! Wakes and stops tasks, and tells when.

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

/// Locks also after a panic of another holder: a fake goes on with what it has.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The moment so many ms later. An absurd span, which no clock can add, counts as a day.
pub fn after_ms(now: Instant, span_ms: u64) -> Instant {
    const DAY_MS: u64 = 86_400_000;
    now + Duration::from_millis(span_ms.min(DAY_MS))
}

/// Wakes all that wait, and can be used again and again.
#[derive(Debug)]
pub struct Signal(Mutex<(Sender<()>, Receiver<()>)>);

/// Waits for the next signal after it was made.
#[derive(Debug, Clone)]
pub struct Waiter(Receiver<()>);

impl Default for Signal {
    fn default() -> Self {
        Self(Mutex::new(async_channel::bounded(1)))
    }
}

impl Signal {
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

    /// Works until the signal is given, and drops what is half done then.
    pub async fn or_end_of(self, work: impl Future<Output = ()>) {
        select(pin!(self.wait()), pin!(work)).await;
    }
}

/// Stops a process in time: whatever passes here waits until it goes on.
#[derive(Debug, Default)]
pub struct Freeze {
    on: AtomicBool,
    changed: Signal,
}

impl Freeze {
    pub fn set(&self, on: bool) {
        self.on.store(on, Ordering::SeqCst);
        self.changed.notify();
    }

    pub async fn pass(&self) {
        loop {
            let changed = self.changed.waiter();
            if !self.on.load(Ordering::SeqCst) {
                return;
            }
            changed.wait().await;
        }
    }
}
