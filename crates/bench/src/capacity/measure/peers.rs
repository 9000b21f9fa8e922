//! Slopes over the number of daemons.

use {
    super::{
        per_second::{PerSecond, at_rest_and_after},
        spread,
    },
    crate::capacity::{
        fit::Point,
        fleet::{FleetOptions, Published, PublishedSize},
        report::{Figure, Report, Slope},
        size::{BUDGET_BYTES_PER_S, BUDGET_CPU_MS_PER_S, DAEMONS, PLATFORM_READS_PER_S},
    },
};

/// Daemons in the fleets that are measured.
pub const SIZES: [usize; 4] = [8, 32, 128, 350];
/// Daemons in the fleets that are measured for the exact figures.
pub const EXACT_SIZES: [usize; 3] = [8, 16, 26];
/// Targets, few enough that they don't matter beside the peers.
const TARGETS: usize = 20;
/// Client accounts.
const ACCOUNTS: usize = 100;

/// A fleet of so many daemons with few targets and accounts.
pub fn options(daemons: usize) -> FleetOptions {
    let size = PublishedSize {
        daemons,
        targets: TARGETS,
        accounts: ACCOUNTS,
    };
    FleetOptions::new(daemons, Published::of(size))
}

/// Measures fleets of several sizes at rest, and how a change spreads in each.
pub fn measure(sizes: &[usize]) -> Report {
    let mut measured = Vec::new();
    let mut spreads = Vec::new();
    for daemons in sizes {
        let (spent, mut fleet) = at_rest_and_after(options(*daemons));
        measured.push((*daemons, spent));
        spreads.push((*daemons, spread::follow(&mut fleet)));
    }
    let mut report = report_of(&measured);
    report.add(spread::report_of(&spreads));
    report
}

fn report_of(measured: &[(usize, PerSecond)]) -> Report {
    let points = |value: fn(&PerSecond) -> f64| -> Vec<Point> {
        measured
            .iter()
            .map(|(daemons, spent)| Point {
                x: *daemons as f64,
                y: value(spent),
            })
            .collect()
    };
    let slope = |name, unit, value| Slope::new(name, "daemon", unit, DAEMONS as f64, points(value));
    let slopes = vec![
        slope("peers.links", "links", |s: &PerSecond| s.links),
        slope("peers.frames_out", "frames/s", |s| s.frames_out),
        slope("peers.bytes_out", "B/s", |s| s.peer_bytes_out).against(BUDGET_BYTES_PER_S),
        slope("peers.bytes_both_ways", "B/s", |s| {
            s.peer_bytes_out + s.peer_bytes_in
        })
        .against(BUDGET_BYTES_PER_S),
        slope("peers.platform_bytes", "B/s", |s| s.platform_bytes).against(BUDGET_BYTES_PER_S),
        slope("peers.watcher_platform_bytes", "B/s", |s| {
            s.most_platform_bytes
        })
        .against(BUDGET_BYTES_PER_S),
        slope("peers.cpu", "ms/s", |s| s.cpu_ms).against(BUDGET_CPU_MS_PER_S),
    ];
    let figures = measured.iter().map(|(daemons, spent)| {
        let reads = spent.reads * *daemons as f64;
        Figure::new(format!("peers.{daemons}.platform_reads"), reads, "reads/s")
            .against(PLATFORM_READS_PER_S as f64)
    });
    Report {
        figures: figures.collect(),
        slopes,
        ..Report::default()
    }
}
