//! Start of a daemon from nothing, and of many at once.

use crate::capacity::{
    fleet::{Fleet, FleetOptions, Published, PublishedSize},
    report::{Figure, Report},
    size::{ACCOUNTS, IN_FORCE_MS, PLATFORM_READS_PER_S, RESTARTS_PER_DAY, TARGETS},
};

/// Values in a page of the platform, in bytes.
const PAGE_BYTES: usize = 1_048_576;
/// How much smaller records and pages are where many daemons start, so that the pages are as many.
const MANY_SCALE: usize = 100;
/// Daemons that run before.
const RUNNING: usize = 4;
/// Time for them to come to rest, in s.
const SETTLE_S: u64 = 3;
/// Longest time that a start is followed, in ms.
const FOLLOW_MS: u64 = 20_000;
/// ns in a ms.
const NS_PER_MS: f64 = 1e6;

/// Measures the start of one daemon and of as many as restart in a day.
pub fn measure() -> Report {
    let mut report = start("start.one", 1, 1);
    report.add(start("start.many", RESTARTS_PER_DAY, MANY_SCALE));
    report
}

/// Measures the start of few daemons at a small size.
pub fn measure_exact() -> Report {
    /// Daemons that start at once.
    const FEW: usize = 10;
    start("start.few", FEW, MANY_SCALE)
}

fn start(name: &str, count: usize, scale: usize) -> Report {
    let published = Published::of(PublishedSize {
        daemons: RUNNING + count,
        targets: TARGETS / scale,
        accounts: ACCOUNTS / scale,
    });
    let mut options = FleetOptions::new(RUNNING, published);
    options.page_bytes = PAGE_BYTES / scale;
    let mut fleet = Fleet::new(options);
    fleet.run_s(SETTLE_S);
    fleet.reset_counters();
    fleet.start(count);
    let begun_ms = fleet.now_ms();
    let all = fleet.len();
    while fleet.in_agreement() < all && fleet.now_ms() - begun_ms < FOLLOW_MS {
        fleet.step();
    }
    let total = fleet.total();
    let each = |sum: u64| sum as f64 / count as f64;
    let figure = |what: &str, value: f64, unit| Figure::new(format!("{name}.{what}"), value, unit);
    let took_ms = (fleet.now_ms() - begun_ms) as f64;
    Report {
        figures: vec![
            figure("daemons", count as f64, "daemons"),
            figure("agreeing", fleet.in_agreement() as f64, "daemons").against(all as f64),
            figure("virtual_time", took_ms, "ms").against(IN_FORCE_MS as f64),
            figure("record_reads_each", each(total.record_reads), "reads"),
            figure("refused_reads", total.refused_reads as f64, "reads"),
            figure("busiest_second", fleet.busiest_second() as f64, "reads/s")
                .against(PLATFORM_READS_PER_S as f64),
            figure("platform_bytes_each", each(total.platform_bytes_in), "B"),
            figure("peer_bytes_each", each(total.peer_bytes_in), "B"),
            figure("frames_too_large", total.frames_too_large as f64, "frames"),
            figure("log_lines_each", each(total.decisions), "lines"),
            figure("cpu_each", each(total.cpu_ns()) / NS_PER_MS, "ms"),
        ],
        ..Report::default()
    }
}
