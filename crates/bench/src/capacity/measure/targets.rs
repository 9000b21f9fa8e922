//! Slopes by number of targets.

use {
    super::idle_cost::{IdleCost, measure_idle},
    crate::capacity::{
        fit::Point,
        fleet::{FleetOptions, Published, PublishedSize},
        report::{Report, Slope},
        size::{self, BUDGET_BYTES_PER_S, BUDGET_CPU_MS_PER_S},
    },
};

/// Numbers of targets that are measured.
pub const SIZES: [usize; 3] = [20, 100, 600];
/// Numbers of targets that are measured with `--exact`.
pub const EXACT_SIZES: [usize; 3] = [5, 10, 20];
/// Daemons, few enough for the cost of peers to be negligible.
const DAEMONS: usize = 8;
/// Client accounts, few enough for their cost to be negligible.
const ACCOUNTS: usize = 100;

/// Measures idle fleets with several numbers of targets.
pub fn measure(sizes: &[usize]) -> Report {
    let measured: Vec<(usize, IdleCost)> = sizes
        .iter()
        .map(|targets| (*targets, measure_idle(options(*targets))))
        .collect();
    let points = |value: fn(&IdleCost) -> f64| -> Vec<Point> {
        measured
            .iter()
            .map(|(targets, cost)| Point {
                x: *targets as f64,
                y: value(cost),
            })
            .collect()
    };
    let design_x = size::TARGETS as f64;
    let slope = |name, unit, value| Slope::new(name, "target", unit, design_x, points(value));
    Report {
        slopes: vec![
            slope("targets.calls", "calls/s", |c: &IdleCost| c.target_calls),
            slope("targets.bytes", "B/s", |c| c.target_bytes).with_budget(BUDGET_BYTES_PER_S),
            slope("targets.watcher_platform_bytes", "B/s", |c| {
                c.max_platform_bytes
            })
            .with_budget(BUDGET_BYTES_PER_S),
            slope("targets.cpu", "ms/s", |c| c.cpu_ms).with_budget(BUDGET_CPU_MS_PER_S),
        ],
        ..Report::default()
    }
}

fn options(targets: usize) -> FleetOptions {
    let size = PublishedSize {
        daemons: DAEMONS,
        targets,
        accounts: ACCOUNTS,
    };
    FleetOptions::new(DAEMONS, Published::new(size))
}
