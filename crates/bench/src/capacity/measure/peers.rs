//! Slopes by number of daemons.

use {
    super::{
        idle_cost::{IdleCost, measure_idle_fleet},
        spread,
    },
    crate::capacity::{
        fit::Point,
        fleet::{FleetOptions, Published, PublishedSize},
        report::{Figure, Report, Slope},
        size::{BUDGET_BYTES_PER_S, BUDGET_CPU_MS_PER_S, DAEMONS, PLATFORM_READS_PER_S},
    },
};

/// Numbers of daemons in the fleets that are measured.
pub const SIZES: [usize; 4] = [8, 32, 128, 350];
/// Numbers of daemons in the fleets that are measured with `--exact`.
pub const EXACT_SIZES: [usize; 3] = [8, 16, 26];
/// Targets, few enough for their cost to be negligible.
const TARGETS: usize = 20;
/// Client accounts, few enough for their cost to be negligible.
const ACCOUNTS: usize = 100;

/// Returns options for a fleet of this many daemons with few targets and accounts.
pub fn options(daemons: usize) -> FleetOptions {
    let size = PublishedSize {
        daemons,
        targets: TARGETS,
        accounts: ACCOUNTS,
    };
    FleetOptions::new(daemons, Published::new(size))
}

/// Measures idle fleets of several sizes, and the propagation of a change in each.
pub fn measure(sizes: &[usize]) -> Report {
    let mut measured = Vec::new();
    let mut spreads = Vec::new();
    for daemons in sizes {
        let (cost, mut fleet) = measure_idle_fleet(options(*daemons));
        measured.push((*daemons, cost));
        spreads.push((*daemons, spread::propagate_change(&mut fleet)));
    }
    let mut report = report_of(&measured);
    report.add(spread::report_of(&spreads));
    report
}

fn report_of(measured: &[(usize, IdleCost)]) -> Report {
    let points = |value: fn(&IdleCost) -> f64| -> Vec<Point> {
        measured
            .iter()
            .map(|(daemons, cost)| Point {
                x: *daemons as f64,
                y: value(cost),
            })
            .collect()
    };
    let slope = |name, unit, value| Slope::new(name, "daemon", unit, DAEMONS as f64, points(value));
    let slopes = vec![
        slope("peers.links", "links", |c: &IdleCost| c.links),
        slope("peers.frames_out", "frames/s", |c| c.frames_out),
        slope("peers.bytes_out", "B/s", |c| c.peer_bytes_out).with_budget(BUDGET_BYTES_PER_S),
        slope("peers.bytes_both_ways", "B/s", |c| {
            c.peer_bytes_out + c.peer_bytes_in
        })
        .with_budget(BUDGET_BYTES_PER_S),
        slope("peers.platform_bytes", "B/s", |c| c.platform_bytes).with_budget(BUDGET_BYTES_PER_S),
        slope("peers.watcher_platform_bytes", "B/s", |c| {
            c.max_platform_bytes
        })
        .with_budget(BUDGET_BYTES_PER_S),
        slope("peers.cpu", "ms/s", |c| c.cpu_ms).with_budget(BUDGET_CPU_MS_PER_S),
    ];
    let figures = measured.iter().map(|(daemons, cost)| {
        let reads = cost.reads * *daemons as f64;
        Figure::new(format!("peers.{daemons}.platform_reads"), reads, "reads/s")
            .with_limit(PLATFORM_READS_PER_S as f64)
    });
    Report {
        figures: figures.collect(),
        slopes,
        ..Report::default()
    }
}
