//! The runtime's clock. async-std has none that tests can pause, so one trait at the edge stands
//! for it, and nothing else of the daemon asks for the time.

mod paused_clock;
mod system_clock;
mod timeout;

pub use {paused_clock::PausedClock, system_clock::SystemClock, timeout::timeout};

use {futures::future::BoxFuture, std::fmt::Debug, whinlatch_core::MonoMs};

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// A monotonic clock and its timers.
pub trait Clock: Debug + Send + Sync + 'static {
    /// Time since some start, in µs.
    fn now_us(&self) -> u64;

    /// Ends after `ms` of this clock.
    fn sleep(&self, ms: u64) -> BoxFuture<'static, ()>;

    /// Time since some start, as the core wants it.
    fn now(&self) -> MonoMs {
        MonoMs(self.now_us() / US_PER_MS)
    }
}
