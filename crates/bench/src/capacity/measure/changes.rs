//! Cost of a record change for each daemon.

use crate::capacity::{
    fit::Point,
    fleet::{Fleet, FleetOptions, Published, PublishedSize},
    report::{Report, Slope},
    size::{CHANGES_PER_DAY, TARGETS},
};

/// Numbers of changes that are measured, each spread evenly over `MEASURE_MS`.
const COUNTS: [u64; 3] = [0, 10, 40];
/// Daemons in the fleet.
const DAEMONS: usize = 26;
/// Client accounts in the fleet.
const ACCOUNTS: usize = 3_800;
/// Time for the fleet to reach its steady state, in s.
const SETTLE_S: u64 = 25;
/// Time over which changes are spread and costs are counted, in ms.
const MEASURE_MS: u64 = 10_000;
/// Nanoseconds per millisecond.
const NS_PER_MS: f64 = 1e6;

/// Measures CPU time and bytes of a daemon by number of changes; the slope is the cost of one change.
pub fn measure() -> Report {
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    let mut fleet = Fleet::new(FleetOptions::new(
        DAEMONS,
        Published::new(PublishedSize {
            daemons: DAEMONS,
            targets: TARGETS,
            accounts: ACCOUNTS,
        }),
    ));
    fleet.run_s(SETTLE_S);
    for count in COUNTS {
        fleet.reset_counters();
        publish_evenly(&mut fleet, count);
        let total = fleet.total();
        let each = |sum: u64| sum as f64 / DAEMONS as f64;
        let x = count as f64;
        cpu.push(Point {
            x,
            y: each(total.cpu_ns()) / NS_PER_MS,
        });
        bytes.push(Point {
            x,
            y: each(total.peer_bytes_out + total.peer_bytes_in),
        });
    }
    let slope = |name, unit, points| Slope::new(name, "change", unit, CHANGES_PER_DAY, points);
    Report {
        slopes: vec![
            slope("changes.cpu", "ms", cpu),
            slope("changes.peer_bytes", "B", bytes),
        ],
        ..Report::default()
    }
}

/// Publishes `count` changes, spread evenly over `MEASURE_MS`.
fn publish_evenly(fleet: &mut Fleet, count: u64) {
    let start_ms = fleet.now_ms();
    let mut published = 0;
    while fleet.now_ms() - start_ms < MEASURE_MS {
        fleet.step();
        // Publishes after the heartbeats of this tick have arrived. All daemons send heartbeats in the same
        // tick here, so a change published earlier would overlap with all of them, which is rare on a
        // real network.
        let due = count * (fleet.now_ms() - start_ms) / MEASURE_MS;
        if published < due {
            fleet.publish(|published| published.change_accounts(1));
            fleet.deliver_all();
            published += 1;
        }
    }
}
