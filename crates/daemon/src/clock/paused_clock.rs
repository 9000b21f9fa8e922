use {
    super::{Clock, US_PER_MS},
    async_channel::{Receiver, Sender},
    futures::future::{BoxFuture, FutureExt},
    std::sync::{Mutex, MutexGuard, PoisonError},
};

/// A clock that stands still until a test advances it.
#[derive(Debug, Default)]
pub struct PausedClock {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    now_us: u64,
    sleepers: Vec<Sleeper>,
}

/// A sleep; it ends when its sender is dropped.
#[derive(Debug)]
struct Sleeper {
    until_us: u64,
    wake: Sender<()>,
}

impl PausedClock {
    /// Advances the clock and ends the sleeps that are over by then.
    pub fn advance(&self, ms: u64) {
        let mut state = self.lock();
        state.now_us += ms * US_PER_MS;
        let now_us = state.now_us;
        state.sleepers.retain(|sleeper| sleeper.until_us > now_us);
    }

    /// Sleeps that haven't ended.
    pub fn sleeping(&self) -> usize {
        self.lock().sleepers.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sleep_until(&self, ms: u64) -> Option<Receiver<()>> {
        if ms == 0 {
            return None;
        }
        let mut state = self.lock();
        let (wake, woken) = async_channel::bounded(1);
        let until_us = state.now_us + ms * US_PER_MS;
        state.sleepers.retain(|sleeper| !sleeper.wake.is_closed());
        state.sleepers.push(Sleeper { until_us, wake });
        Some(woken)
    }
}

impl Clock for PausedClock {
    fn now_us(&self) -> u64 {
        self.lock().now_us
    }

    fn sleep(&self, ms: u64) -> BoxFuture<'static, ()> {
        let Some(woken) = self.sleep_until(ms) else {
            return futures::future::ready(()).boxed();
        };
        async move {
            // The sender is dropped, not used: the channel's end is the end of the sleep.
            let _ended = woken.recv().await;
        }
        .boxed()
    }
}
