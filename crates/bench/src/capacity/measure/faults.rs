//! Cost of the failure and the start of a daemon for each of the others.

use {
    super::peers,
    crate::capacity::{
        fit::Point,
        fleet::Fleet,
        report::{Figure, Report, Slope},
        size::{DAEMONS, FAILURE_DOMAINS},
    },
};

/// Numbers of daemons in the fleets that are measured.
pub const SIZES: [usize; 3] = [8, 32, 128];
/// Time for a fleet to reach its steady state, in s.
const SETTLE_S: u64 = 5;
/// Time during which the traffic after a failure or start is counted, in s.
const COUNT_S: u64 = 10;
/// Number of the daemon that fails.
const FAILING: usize = 1;

/// Maximum time to wait until a failure or start is detected, in s.
const DETECTION_TIMEOUT_S: u64 = 30;

/// Measures fleets of several sizes, and the loss of a failure domain.
pub fn measure(sizes: &[usize]) -> Report {
    let mut failure = Vec::new();
    let mut start = Vec::new();
    let mut figures = Vec::new();
    for daemons in sizes {
        let x = *daemons as f64;
        let others = x - 1.0;
        let mut fleet = Fleet::new(peers::options(*daemons));
        fleet.run_s(SETTLE_S);
        fleet.kill(FAILING);
        let failed = count_peer_bytes(&mut fleet);
        let idle_without = count_peer_bytes(&mut fleet);
        failure.push(Point {
            x,
            y: (failed - idle_without).max(0.0) / others,
        });
        fleet.restart(FAILING);
        let started = count_peer_bytes(&mut fleet);
        let idle = count_peer_bytes(&mut fleet);
        start.push(Point {
            x,
            y: (started - idle).max(0.0) / others,
        });
        figures.extend(detection_times(*daemons));
    }
    figures.extend(domain_failure());
    let slope = |name, points| Slope::new(name, "daemon", "B", DAEMONS as f64, points);
    Report {
        slopes: vec![
            slope("faults.failure_bytes", failure),
            slope("faults.start_bytes", start),
        ],
        figures,
        ..Report::default()
    }
}

/// Measures the time until no daemon considers a failed one alive, and after its restart until all
/// consider its new run alive.
fn detection_times(daemons: usize) -> [Figure; 2] {
    let mut fleet = Fleet::new(peers::options(daemons));
    fleet.run_s(SETTLE_S);
    fleet.kill(FAILING);
    let suspected_ms = time_until(&mut fleet, |fleet| {
        fleet.daemons_considering_alive(&[FAILING]) == 0
    });
    fleet.restart(FAILING);
    let known_ms = time_until(&mut fleet, |fleet| {
        fleet.daemons_considering_alive(&[FAILING]) == daemons - 1
    });
    [
        Figure::new(
            format!("faults.{daemons}.suspected_after"),
            suspected_ms,
            "ms",
        ),
        Figure::new(format!("faults.{daemons}.known_after"), known_ms, "ms"),
    ]
}

/// Measures the cost of losing a failure domain for the remaining daemons.
fn domain_failure() -> [Figure; 3] {
    /// Daemons in the fleet, the same number in each failure domain.
    const DAEMONS: usize = 126;
    let lost: Vec<usize> = (0..DAEMONS).step_by(FAILURE_DOMAINS).collect();
    let mut fleet = Fleet::new(peers::options(DAEMONS));
    fleet.run_s(SETTLE_S);
    for number in &lost {
        fleet.kill(*number);
    }
    let failed = count_peer_bytes(&mut fleet);
    let idle = count_peer_bytes(&mut fleet);
    let remaining = (DAEMONS - lost.len()) as f64;
    let mut fleet = Fleet::new(peers::options(DAEMONS));
    fleet.run_s(SETTLE_S);
    for number in &lost {
        fleet.kill(*number);
    }
    let suspected_ms = time_until(&mut fleet, |fleet| {
        fleet.daemons_considering_alive(&lost) == 0
    });
    [
        Figure::new("faults.domain.daemons", lost.len() as f64, "daemons"),
        Figure::new("faults.domain.suspected_after", suspected_ms, "ms"),
        Figure::new(
            "faults.domain.bytes_each",
            (failed - idle).max(0.0) / remaining,
            "B",
        ),
    ]
}

/// Advances the fleet until `condition` holds or the timeout is over. Returns the virtual time, in ms.
fn time_until(fleet: &mut Fleet, condition: impl Fn(&Fleet) -> bool) -> f64 {
    let start_ms = fleet.now_ms();
    while !condition(fleet) && fleet.now_ms() - start_ms < DETECTION_TIMEOUT_S * 1_000 {
        fleet.step();
    }
    (fleet.now_ms() - start_ms) as f64
}

/// Counts the bytes that all daemons send to and receive from peers during `COUNT_S`.
fn count_peer_bytes(fleet: &mut Fleet) -> f64 {
    fleet.reset_counters();
    fleet.run_s(COUNT_S);
    let total = fleet.total();
    (total.peer_bytes_out + total.peer_bytes_in) as f64
}
