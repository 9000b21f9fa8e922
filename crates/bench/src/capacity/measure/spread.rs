//! How a change that one daemon read reaches the last.

use crate::capacity::{
    fit::Point,
    fleet::{Counters, Fleet},
    report::{Figure, Report, Slope},
    size::{DAEMONS, IN_FORCE_MS},
};

/// Longest time that a change is followed, in ms.
const FOLLOW_MS: u64 = 20_000;
/// ns in a ms.
const NS_PER_MS: f64 = 1e6;

/// How one change spread.
#[derive(Debug, Clone, Copy)]
pub struct Spread {
    /// Rounds of messages between peers until the last daemon had it.
    rounds: usize,
    /// Daemons that had it in the end.
    reached: usize,
    /// Virtual time, and in each round the processor time of the slowest daemon, in ms.
    time_ms: f64,
    /// Mean bytes of a daemon, both ways, until no message was left.
    bytes_per_daemon: f64,
    /// Bytes sent by the daemon that sent most.
    most_bytes: u64,
}

/// Changes a record that only one watcher reads, and follows it to the last daemon.
pub fn follow(fleet: &mut Fleet) -> Spread {
    let daemons = fleet.len();
    let reader = fleet.watching().next().unwrap_or(0);
    fleet.platform_reaches(|number| number == reader);
    fleet.settle();
    fleet.reset_counters();
    let begun_ms = fleet.now_ms();
    fleet.publish(|published| published.change_accounts(1));
    let newest = fleet.newest();
    // The first round brings the platform's answer to the one daemon that reads it.
    let mut busy_ns = 0;
    let mut rounds = 0;
    timed_round(fleet, &mut busy_ns);
    while fleet.holding(newest) < daemons && fleet.now_ms() - begun_ms < FOLLOW_MS {
        if !timed_round(fleet, &mut busy_ns) {
            fleet.tick();
            continue;
        }
        rounds += 1;
    }
    let waited_ms = fleet.now_ms() - begun_ms;
    fleet.settle();
    let total = fleet.total();
    let both_ways = total.peer_bytes_out + total.peer_bytes_in;
    Spread {
        rounds,
        reached: fleet.holding(newest),
        time_ms: waited_ms as f64 + busy_ns as f64 / NS_PER_MS,
        bytes_per_daemon: both_ways as f64 / daemons as f64,
        most_bytes: fleet
            .counters()
            .map(|c| c.peer_bytes_out)
            .max()
            .unwrap_or(0),
    }
}

/// Delivers one round and adds the processor time of the daemon that took longest.
fn timed_round(fleet: &mut Fleet, busy_ns: &mut u64) -> bool {
    let before: Vec<u64> = fleet.counters().map(Counters::cpu_ns).collect();
    let any = fleet.round();
    let each = fleet.counters().zip(before);
    *busy_ns += each.map(|(c, b)| c.cpu_ns() - b).max().unwrap_or(0);
    any
}

/// What the spreads in fleets of several sizes tell.
pub fn report_of(spreads: &[(usize, Spread)]) -> Report {
    let points = |value: fn(&Spread) -> f64| -> Vec<Point> {
        let each = spreads.iter().map(|(daemons, spread)| Point {
            x: *daemons as f64,
            y: value(spread),
        });
        each.collect()
    };
    let slope = |name, unit, value| Slope::new(name, "daemon", unit, DAEMONS as f64, points(value));
    let figures = spreads.iter().flat_map(|(daemons, spread)| {
        let name = |what: &str| format!("spread.{daemons}.{what}");
        [
            Figure::new(name("reached"), spread.reached as f64, "daemons"),
            Figure::new(name("time"), spread.time_ms, "ms").against(IN_FORCE_MS as f64),
            Figure::new(name("most_bytes"), spread.most_bytes as f64, "B"),
        ]
    });
    Report {
        figures: figures.collect(),
        slopes: vec![
            slope("spread.rounds", "rounds", |s: &Spread| s.rounds as f64),
            slope("spread.peer_bytes", "B", |s| s.bytes_per_daemon),
        ],
        ..Report::default()
    }
}
