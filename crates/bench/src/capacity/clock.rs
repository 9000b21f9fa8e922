//! Processor time of this thread, which other programs on the machine don't add to.

use rustix::time::{ClockId, clock_gettime};

/// Nanoseconds in a second.
const NS_PER_S: u64 = 1_000_000_000;

/// Processor time that this thread has used, in ns.
pub fn cpu_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec.unsigned_abs() * NS_PER_S + time.tv_nsec.unsigned_abs()
}

/// Runs `work` and adds the processor time it took to `total_ns`.
pub fn timed<T>(total_ns: &mut u64, work: impl FnOnce() -> T) -> T {
    let begun = cpu_ns();
    let result = work();
    *total_ns += cpu_ns() - begun;
    result
}
