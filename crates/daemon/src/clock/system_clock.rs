use {
    super::{Clock, US_PER_MS},
    async_std::task,
    futures::future::{BoxFuture, FutureExt},
    rustix::time::{ClockId, Timespec, clock_gettime},
    std::time::Duration,
};

/// Nanoseconds in a microsecond.
const NS_PER_US: u64 = 1_000;
/// Microseconds in a second.
const US_PER_S: u64 = 1_000 * US_PER_MS;

/// The system's boot-time clock.
///
/// It includes the time for which the machine was suspended, which the monotonic clock doesn't:
/// with that, a process would take deadlines that passed during a suspension as still ahead.
#[derive(Debug)]
pub struct SystemClock {
    start_us: u64,
}

impl SystemClock {
    /// Creates a clock that starts at 0 now.
    pub fn start() -> Self {
        Self {
            start_us: boot_time_us(),
        }
    }
}

impl Clock for SystemClock {
    fn now_us(&self) -> u64 {
        boot_time_us() - self.start_us
    }

    fn sleep(&self, ms: u64) -> BoxFuture<'static, ()> {
        task::sleep(Duration::from_millis(ms)).boxed()
    }
}

fn boot_time_us() -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    tv_sec as u64 * US_PER_S + tv_nsec as u64 / NS_PER_US
}
