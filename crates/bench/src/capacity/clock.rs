//! CPU time of the current thread, which other processes on the machine don't add to.

use rustix::time::{ClockId, clock_gettime};

/// Nanoseconds per second.
const NS_PER_S: u64 = 1_000_000_000;

/// Returns the CPU time that this thread has used, in ns.
pub fn cpu_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec.unsigned_abs() * NS_PER_S + time.tv_nsec.unsigned_abs()
}

/// Runs `work` and adds its CPU time to `total_ns`.
pub fn timed<T>(total_ns: &mut u64, work: impl FnOnce() -> T) -> T {
    let started_at = cpu_ns();
    let result = work();
    *total_ns += cpu_ns() - started_at;
    result
}
