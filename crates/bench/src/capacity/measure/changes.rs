//! What a change of a record costs, and how it reaches the last daemon.

use {
    super::peers,
    crate::capacity::{
        fit::Point,
        fleet::{Counters, Fleet, FleetOptions, Published, PublishedSize},
        report::{Figure, Report, Slope},
        size::{self, CHANGES_PER_DAY, IN_FORCE_MS, TARGETS},
    },
};

/// Changes that are measured, one after the other.
const COUNTS: [usize; 4] = [1, 10, 40, 160];
/// Daemons of the fleet in which they are counted.
const DAEMONS: usize = 32;
/// Client accounts there.
const ACCOUNTS: usize = 3_800;
/// Time for a fleet to come to rest, in s.
const SETTLE_S: u64 = 5;
/// Longest time that a change is followed, in ms.
const FOLLOW_MS: u64 = 20_000;
/// ns in a ms.
const NS_PER_MS: f64 = 1e6;

/// Measures what each change costs a daemon while all daemons read the platform.
pub fn measure_count() -> Report {
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
        for _ in 0..count {
            fleet.publish(|published| published.change_accounts(1));
            fleet.settle();
            // The changes of a day come apart from each other, not within one second.
            fleet.refill_reads();
        }
        let total = fleet.total();
        let each = |sum: u64| sum as f64 / DAEMONS as f64;
        let x = count as f64;
        cpu.push(Point {
            x,
            y: each(total.cpu_ns()) / NS_PER_MS,
        });
        bytes.push(Point {
            x,
            y: each(total.bytes_out() + total.bytes_in()),
        });
    }
    let slope = |name, unit, points| Slope::new(name, "change", unit, CHANGES_PER_DAY, points);
    Report {
        slopes: vec![
            slope("changes.cpu", "ms", cpu),
            slope("changes.bytes_both_ways", "B", bytes),
        ],
        ..Report::default()
    }
}

/// Measures how a change that one daemon read reaches the last of fleets of several sizes.
pub fn measure_spread(sizes: &[usize]) -> Report {
    let mut rounds = Vec::new();
    let mut bytes = Vec::new();
    let mut figures = Vec::new();
    for daemons in sizes {
        let spread = spread(*daemons);
        let x = *daemons as f64;
        rounds.push(Point {
            x,
            y: spread.rounds as f64,
        });
        bytes.push(Point {
            x,
            y: spread.bytes_per_daemon,
        });
        let name = |what: &str| format!("spread.{daemons}.{what}");
        figures.push(Figure::new(
            name("reached"),
            spread.reached as f64,
            "daemons",
        ));
        figures.push(Figure::new(name("time"), spread.time_ms, "ms").against(IN_FORCE_MS as f64));
        figures.push(Figure::new(
            name("most_bytes"),
            spread.most_bytes as f64,
            "B",
        ));
    }
    let design_x = size::DAEMONS as f64;
    let slope = |name, unit, points| Slope::new(name, "daemon", unit, design_x, points);
    Report {
        slopes: vec![
            slope("spread.rounds", "rounds", rounds),
            slope("spread.bytes_both_ways", "B", bytes),
        ],
        figures,
        ..Report::default()
    }
}

/// How one change spread.
#[derive(Debug, Clone, Copy)]
struct Spread {
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

fn spread(daemons: usize) -> Spread {
    let mut fleet = Fleet::new(peers::options(daemons));
    fleet.run_s(SETTLE_S);
    fleet.platform_reaches(|number| number == 0);
    fleet.reset_counters();
    let begun_ms = fleet.now_ms();
    fleet.publish(|published| published.change_accounts(1));
    let newest = fleet.newest();
    // The first round brings the platform's answer to the one daemon that reads it.
    let mut busy_ns = 0;
    let mut rounds = 0;
    timed_round(&mut fleet, &mut busy_ns);
    while fleet.holding(newest) < daemons && fleet.now_ms() - begun_ms < FOLLOW_MS {
        if !timed_round(&mut fleet, &mut busy_ns) {
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
