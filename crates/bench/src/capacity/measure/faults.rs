//! What the failure and the start of one daemon cost each of the others.

use {
    super::peers,
    crate::capacity::{
        fit::Point,
        fleet::Fleet,
        report::{Figure, Report, Slope},
        size::{DAEMONS, FAILURE_DOMAINS},
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
        fleet.kill(FAILING);
        let failed = bytes_of(&mut fleet);
        let rest_without = bytes_of(&mut fleet);
        failure.push(Point {
            x,
            y: (failed - rest_without).max(0.0) / others,
        });
        fleet.restart(FAILING);
        let started = bytes_of(&mut fleet);
        let rest = bytes_of(&mut fleet);
        start.push(Point {
            x,
            y: (started - rest).max(0.0) / others,
        });
        figures.extend(noticed(*daemons));
    }
    figures.extend(domain_lost());
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

/// Time until no other daemon holds one that failed to be alive, and until all know the new run.
fn noticed(daemons: usize) -> [Figure; 2] {
    let mut fleet = Fleet::new(peers::options(daemons));
    fleet.run_s(SETTLE_S);
    fleet.kill(FAILING);
    let gone_ms = time_until(&mut fleet, |fleet| fleet.believing_in(&[FAILING]) == 0);
    fleet.restart(FAILING);
    let known_ms = time_until(&mut fleet, |fleet| {
        fleet.believing_in(&[FAILING]) == daemons - 1
    });
    [
        Figure::new(format!("faults.{daemons}.suspected_after"), gone_ms, "ms"),
        Figure::new(format!("faults.{daemons}.known_after"), known_ms, "ms"),
    ]
}

/// What the loss of a failure domain costs the others.
fn domain_lost() -> [Figure; 3] {
    /// Daemons in the fleet, as many in each failure domain.
    const DAEMONS: usize = 126;
    let lost: Vec<usize> = (0..DAEMONS).step_by(FAILURE_DOMAINS).collect();
    let mut fleet = Fleet::new(peers::options(DAEMONS));
    fleet.run_s(SETTLE_S);
    for number in &lost {
        fleet.kill(*number);
    }
    let failed = bytes_of(&mut fleet);
    let rest = bytes_of(&mut fleet);
    let left = (DAEMONS - lost.len()) as f64;
    let mut fleet = Fleet::new(peers::options(DAEMONS));
    fleet.run_s(SETTLE_S);
    for number in &lost {
        fleet.kill(*number);
    }
    let gone_ms = time_until(&mut fleet, |fleet| fleet.believing_in(&lost) == 0);
    [
        Figure::new("faults.domain.daemons", lost.len() as f64, "daemons"),
        Figure::new("faults.domain.suspected_after", gone_ms, "ms"),
        Figure::new(
            "faults.domain.bytes_each",
            (failed - rest).max(0.0) / left,
            "B",
        ),
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
