//! What the failure and the start of one daemon cost each of the others.

use {
    super::peers,
    crate::capacity::{
        fit::Point,
        fleet::Fleet,
        report::{Figure, Report, Slope},
        size::DAEMONS,
    },
};

/// Daemons in the fleets that are measured.
pub const SIZES: [usize; 3] = [8, 32, 128];
/// Time for a fleet to come to rest, in s.
const SETTLE_S: u64 = 5;
/// Time in which the effects of a failure or start are counted, in s.
const COUNT_S: u64 = 10;
/// The daemon that fails.
const FAILING: usize = 1;

/// Longest time until the failure is noticed, in s.
const NOTICE_S: u64 = 30;

/// Measures fleets of several sizes.
pub fn measure(sizes: &[usize]) -> Report {
    let mut failure = Vec::new();
    let mut start = Vec::new();
    let mut figures = Vec::new();
    for daemons in sizes {
        let x = *daemons as f64;
        let others = x - 1.0;
        let mut fleet = Fleet::new(peers::options(*daemons));
        fleet.run_s(SETTLE_S);
        let rest = bytes_of(&mut fleet);
        fleet.kill(FAILING);
        let failed = bytes_of(&mut fleet);
        let rest_without = bytes_of(&mut fleet);
        failure.push(Point {
            x,
            y: (failed - rest_without).max(0.0) / others,
        });
        fleet.restart(FAILING);
        let started = bytes_of(&mut fleet);
        start.push(Point {
            x,
            y: (started - rest).max(0.0) / others,
        });
        figures.extend(noticed(*daemons));
    }
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

/// Time until no other daemon names one that failed, and until all name the new run.
fn noticed(daemons: usize) -> [Figure; 2] {
    let mut fleet = Fleet::new(peers::options(daemons));
    fleet.run_s(SETTLE_S);
    fleet.kill(FAILING);
    let gone_ms = time_until(&mut fleet, |fleet| fleet.naming(FAILING) == 0);
    fleet.restart(FAILING);
    let known_ms = time_until(&mut fleet, |fleet| fleet.naming(FAILING) == daemons - 1);
    [
        Figure::new(format!("faults.{daemons}.unnamed_after"), gone_ms, "ms"),
        Figure::new(format!("faults.{daemons}.named_after"), known_ms, "ms"),
    ]
}

/// Virtual time until something holds, in ms; the limit if it never does.
fn time_until(fleet: &mut Fleet, holds: impl Fn(&Fleet) -> bool) -> f64 {
    let begun_ms = fleet.now_ms();
    while !holds(fleet) && fleet.now_ms() - begun_ms < NOTICE_S * 1_000 {
        fleet.step();
    }
    (fleet.now_ms() - begun_ms) as f64
}

/// Bytes that all daemons together exchange with peers, both ways.
fn bytes_of(fleet: &mut Fleet) -> f64 {
    fleet.reset_counters();
    fleet.run_s(COUNT_S);
    let total = fleet.total();
    (total.peer_bytes_out + total.peer_bytes_in) as f64
}
