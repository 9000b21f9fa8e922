//! The clock of the daemon. async-std has none that tests can pause, so all code of the daemon reads
//! the time and sleeps through the trait [`Clock`].

mod paused_clock;
mod system_clock;
mod timeout;

pub use {paused_clock::PausedClock, system_clock::SystemClock, timeout::timeout};

use {futures::future::BoxFuture, std::fmt::Debug, whinlatch_core::MonoMs};

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// A monotonic clock and its timers.
pub trait Clock: Debug + Send + Sync + 'static {
    /// Returns the time since an arbitrary start, in µs.
    fn now_us(&self) -> u64;

    /// Sleeps for `ms` of this clock.
    fn sleep(&self, ms: u64) -> BoxFuture<'static, ()>;

    /// Returns the time since the same start as the core's type.
    fn now(&self) -> MonoMs {
        MonoMs(self.now_us() / US_PER_MS)
    }
}
