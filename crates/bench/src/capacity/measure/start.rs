//! Start of one daemon without any records, and of many at the same time.

use crate::capacity::{
    fleet::{Fleet, FleetOptions, Published, PublishedSize},
    report::{Figure, Report},
    size::{ACCOUNTS, PLATFORM_READS_PER_S, PROPAGATION_LIMIT_MS, RESTARTS_PER_DAY, TARGETS},
};

/// Maximum size of the values in a page of records, in bytes.
const PAGE_BYTES: usize = 1_048_576;
/// Divisor of records and page size where many daemons start, so that the number of pages is unchanged.
const MANY_DIVISOR: usize = 100;
/// Daemons that run before the others start.
const RUNNING: usize = 4;
/// Time for the running daemons to reach their steady state, in s.
const SETTLE_S: u64 = 3;
/// Maximum time to wait until all daemons have the published records, in ms.
const CONVERGENCE_TIMEOUT_MS: u64 = 20_000;
/// Nanoseconds per millisecond.
const NS_PER_MS: f64 = 1e6;

/// Measures the start of one daemon, and of `RESTARTS_PER_DAY` at the same time.
pub fn measure() -> Report {
    let mut report = start("start.one", 1, 1);
    report.add(start("start.many", RESTARTS_PER_DAY, MANY_DIVISOR));
    report
}

/// Measures the start of a few daemons at a small size.
pub fn measure_exact() -> Report {
    /// Daemons that start at the same time.
    const FEW: usize = 10;
    start("start.few", FEW, MANY_DIVISOR)
}

/// Measures the start of `count` daemons with records and pages divided by `divisor`.
fn start(name: &str, count: usize, divisor: usize) -> Report {
    let published = Published::new(PublishedSize {
        daemons: RUNNING + count,
        targets: TARGETS / divisor,
        accounts: ACCOUNTS / divisor,
    });
    let mut options = FleetOptions::new(RUNNING, published);
    options.page_bytes = PAGE_BYTES / divisor;
    let mut fleet = Fleet::new(options);
    fleet.run_s(SETTLE_S);
    fleet.reset_counters();
    fleet.start_daemons(count);
    let start_ms = fleet.now_ms();
    let all = fleet.len();
    while fleet.converged_daemons() < all && fleet.now_ms() - start_ms < CONVERGENCE_TIMEOUT_MS {
        fleet.step();
    }
    let total = fleet.total();
    let each = |sum: u64| sum as f64 / count as f64;
    let figure = |what: &str, value: f64, unit| Figure::new(format!("{name}.{what}"), value, unit);
    let elapsed_ms = (fleet.now_ms() - start_ms) as f64;
    Report {
        figures: vec![
            figure("daemons", count as f64, "daemons"),
            figure("agreeing", fleet.converged_daemons() as f64, "daemons").with_limit(all as f64),
            figure("virtual_time", elapsed_ms, "ms").with_limit(PROPAGATION_LIMIT_MS as f64),
            figure("record_reads_each", each(total.record_reads), "reads"),
            figure("refused_reads", total.refused_reads as f64, "reads"),
            figure("busiest_second", fleet.max_reads_per_s() as f64, "reads/s")
                .with_limit(PLATFORM_READS_PER_S as f64),
            figure("platform_bytes_each", each(total.platform_bytes_in), "B"),
            figure("peer_bytes_each", each(total.peer_bytes_in), "B"),
            figure("frames_too_large", total.frames_too_large as f64, "frames"),
            figure("log_lines_each", each(total.decisions), "lines"),
            figure("cpu_each", each(total.cpu_ns()) / NS_PER_MS, "ms"),
        ],
        ..Report::default()
    }
}
