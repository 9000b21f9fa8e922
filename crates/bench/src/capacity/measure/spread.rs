//! Propagation of a record change from the daemon that reads it to all others.

use crate::capacity::{
    fit::Point,
    fleet::{Counters, Fleet},
    report::{Figure, Report, Slope},
    size::{DAEMONS, PROPAGATION_LIMIT_MS},
};

/// Maximum time to wait until a change has reached all daemons, in ms.
const PROPAGATION_TIMEOUT_MS: u64 = 20_000;
/// Nanoseconds per millisecond.
const NS_PER_MS: f64 = 1e6;

/// Cost of propagating one change.
#[derive(Debug, Clone, Copy)]
pub struct Propagation {
    /// Rounds of messages between peers until the last daemon had the change.
    rounds: usize,
    /// Daemons that had the change at the end.
    reached: usize,
    /// Virtual time plus the CPU time of the slowest daemon in each round, in ms.
    time_ms: f64,
    /// Mean bytes sent and received by a daemon until no message was left.
    bytes_per_daemon: f64,
    /// Bytes sent by the daemon that sent most.
    max_bytes_out: u64,
}

/// Publishes a change that a single daemon reads, and advances the fleet until all daemons have it.
pub fn propagate_change(fleet: &mut Fleet) -> Propagation {
    let daemons = fleet.len();
    let reader = fleet.watchers().next().unwrap_or(0);
    fleet.set_platform_access(|number| number == reader);
    fleet.deliver_all();
    fleet.reset_counters();
    let start_ms = fleet.now_ms();
    fleet.publish(|published| published.change_accounts(1));
    let newest = fleet.newest_revision();
    // The first round delivers the platform's response to the daemon that reads it and isn't counted.
    let mut busy_ns = 0;
    let mut rounds = 0;
    timed_round(fleet, &mut busy_ns);
    while fleet.daemons_at(newest) < daemons && fleet.now_ms() - start_ms < PROPAGATION_TIMEOUT_MS {
        if !timed_round(fleet, &mut busy_ns) {
            fleet.tick();
            continue;
        }
        rounds += 1;
    }
    let waited_ms = fleet.now_ms() - start_ms;
    fleet.deliver_all();
    let total = fleet.total();
    let both_ways = total.peer_bytes_out + total.peer_bytes_in;
    Propagation {
        rounds,
        reached: fleet.daemons_at(newest),
        time_ms: waited_ms as f64 + busy_ns as f64 / NS_PER_MS,
        bytes_per_daemon: both_ways as f64 / daemons as f64,
        max_bytes_out: fleet
            .counters()
            .map(|c| c.peer_bytes_out)
            .max()
            .unwrap_or(0),
    }
}

/// Delivers one round and adds the CPU time of the slowest daemon. Returns whether there were messages.
fn timed_round(fleet: &mut Fleet, busy_ns: &mut u64) -> bool {
    let before: Vec<u64> = fleet.counters().map(Counters::cpu_ns).collect();
    let delivered = fleet.deliver_round();
    let each = fleet.counters().zip(before);
    *busy_ns += each.map(|(c, b)| c.cpu_ns() - b).max().unwrap_or(0);
    delivered
}

/// Reports the propagation in fleets of several sizes.
pub fn report_of(propagations: &[(usize, Propagation)]) -> Report {
    let points = |value: fn(&Propagation) -> f64| -> Vec<Point> {
        let each = propagations.iter().map(|(daemons, propagation)| Point {
            x: *daemons as f64,
            y: value(propagation),
        });
        each.collect()
    };
    let slope = |name, unit, value| Slope::new(name, "daemon", unit, DAEMONS as f64, points(value));
    let figures = propagations.iter().flat_map(|(daemons, propagation)| {
        let name = |what: &str| format!("spread.{daemons}.{what}");
        [
            Figure::new(name("reached"), propagation.reached as f64, "daemons"),
            Figure::new(name("time"), propagation.time_ms, "ms")
                .with_limit(PROPAGATION_LIMIT_MS as f64),
            Figure::new(name("most_bytes"), propagation.max_bytes_out as f64, "B"),
        ]
    });
    Report {
        figures: figures.collect(),
        slopes: vec![
            slope("spread.rounds", "rounds", |p: &Propagation| p.rounds as f64),
            slope("spread.peer_bytes", "B", |p| p.bytes_per_daemon),
        ],
        ..Report::default()
    }
}
