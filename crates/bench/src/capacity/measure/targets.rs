//! Slopes over the number of targets.

use {
    super::per_second::{PerSecond, at_rest},
    crate::capacity::{
        fit::Point,
        fleet::{FleetOptions, Published, PublishedSize},
        report::{Report, Slope},
        size::{self, BUDGET_BYTES_PER_S, BUDGET_CPU_MS_PER_S},
    },
};

/// Targets that are measured.
pub const SIZES: [usize; 3] = [20, 100, 600];
/// Targets that are measured for the exact figures.
pub const EXACT_SIZES: [usize; 3] = [5, 10, 20];
/// Daemons, few enough that they don't matter beside the targets.
const DAEMONS: usize = 8;
/// Client accounts.
const ACCOUNTS: usize = 100;

/// Measures fleets with several numbers of targets at rest.
pub fn measure(sizes: &[usize]) -> Report {
    let measured: Vec<(usize, PerSecond)> = sizes
        .iter()
        .map(|targets| (*targets, at_rest(options(*targets))))
        .collect();
    let points = |value: fn(&PerSecond) -> f64| -> Vec<Point> {
        measured
            .iter()
            .map(|(targets, spent)| Point {
                x: *targets as f64,
                y: value(spent),
            })
            .collect()
    };
    let design_x = size::TARGETS as f64;
    let slope = |name, unit, value| Slope::new(name, "target", unit, design_x, points(value));
    Report {
        slopes: vec![
            slope("targets.calls", "calls/s", |s: &PerSecond| s.target_calls),
            slope("targets.bytes", "B/s", |s| s.target_bytes).against(BUDGET_BYTES_PER_S),
            slope("targets.watcher_platform_bytes", "B/s", |s| {
                s.most_platform_bytes
            })
            .against(BUDGET_BYTES_PER_S),
            slope("targets.cpu", "ms/s", |s| s.cpu_ms).against(BUDGET_CPU_MS_PER_S),
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
    FleetOptions::new(DAEMONS, Published::of(size))
}
