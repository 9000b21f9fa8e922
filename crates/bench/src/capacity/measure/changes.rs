//! What a change of a record costs each daemon.

use crate::capacity::{
    fit::Point,
    fleet::{Fleet, FleetOptions, Published, PublishedSize},
    report::{Report, Slope},
    size::{CHANGES_PER_DAY, TARGETS},
};

/// Changes that are measured, spread evenly over the same time.
const COUNTS: [u64; 3] = [0, 10, 40];
/// Daemons of the fleet in which they are counted.
const DAEMONS: usize = 26;
/// Client accounts there.
const ACCOUNTS: usize = 3_800;
/// Time for the fleet to come to rest, in s.
const SETTLE_S: u64 = 25;
/// Time over which the changes are spread, in ms.
const MEASURE_MS: u64 = 10_000;
/// ns in a ms.
const NS_PER_MS: f64 = 1e6;

/// Measures what each change costs a daemon beyond its rest.
pub fn measure() -> Report {
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    let mut fleet = Fleet::new(FleetOptions::new(
        DAEMONS,
        Published::of(PublishedSize {
            daemons: DAEMONS,
            targets: TARGETS,
            accounts: ACCOUNTS,
        }),
    ));
    fleet.run_s(SETTLE_S);
    for count in COUNTS {
        fleet.reset_counters();
        change_evenly(&mut fleet, count);
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

fn change_evenly(fleet: &mut Fleet, count: u64) {
    let begun_ms = fleet.now_ms();
    let mut changed = 0;
    while fleet.now_ms() - begun_ms < MEASURE_MS {
        fleet.step();
        // After the heartbeats of this tick have arrived. All daemons beat in one tick here; a
        // change amid them would meet each heartbeat on its way, as it seldom does on a network.
        let due = count * (fleet.now_ms() - begun_ms) / MEASURE_MS;
        if changed < due {
            fleet.publish(|published| published.change_accounts(1));
            fleet.settle();
            changed += 1;
        }
    }
}
