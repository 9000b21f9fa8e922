use {
    super::Clock,
    async_std::task,
    futures::future::{BoxFuture, FutureExt},
    std::time::{Duration, Instant},
};

/// The clock of the system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    fn sleep(&self, ms: u64) -> BoxFuture<'static, ()> {
        task::sleep(Duration::from_millis(ms)).boxed()
    }
}
