use {
    super::{Clock, US_PER_MS},
    async_channel::{Receiver, Sender},
    futures::future::{BoxFuture, FutureExt},
    std::sync::{Mutex, MutexGuard, PoisonError},
};

/// A clock that only moves when a test advances it.
#[derive(Debug, Default)]
pub struct PausedClock {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    now_us: u64,
    sleepers: Vec<Sleeper>,
}

/// A pending sleep; it ends when its sender is dropped.
#[derive(Debug)]
struct Sleeper {
    until_us: u64,
    alive: Sender<()>,
}

impl PausedClock {
    /// Advances the clock and ends the sleeps whose time has passed.
    pub fn advance(&self, ms: u64) {
        let mut state = self.lock();
        state.now_us += ms * US_PER_MS;
        let now_us = state.now_us;
        state.sleepers.retain(|sleeper| sleeper.until_us > now_us);
    }

    /// Returns the number of sleeps that haven't ended.
    pub fn sleeping(&self) -> usize {
        self.lock().sleepers.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a sleep and returns the channel whose end ends it; `None` for a sleep of 0 ms.
    fn add_sleeper(&self, ms: u64) -> Option<Receiver<()>> {
        if ms == 0 {
            return None;
        }
        let mut state = self.lock();
        let (alive, ended) = async_channel::bounded(1);
        let until_us = state.now_us + ms * US_PER_MS;
        state.sleepers.retain(|sleeper| !sleeper.alive.is_closed());
        state.sleepers.push(Sleeper { until_us, alive });
        Some(ended)
    }
}

impl Clock for PausedClock {
    fn now_us(&self) -> u64 {
        self.lock().now_us
    }

    fn sleep(&self, ms: u64) -> BoxFuture<'static, ()> {
        let Some(ended) = self.add_sleeper(ms) else {
            return futures::future::ready(()).boxed();
        };
        async move {
            // Nothing is ever sent: the sleep ends when the sender is dropped.
            let _closed = ended.recv().await;
        }
        .boxed()
    }
}
