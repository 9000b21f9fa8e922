//! Convergence of two regions after a partition: bytes and time.

use crate::capacity::{
    fleet::{Fleet, FleetOptions, Published, PublishedSize},
    report::{Figure, Report},
    size::{ACCOUNTS, CHANGES_PER_DAY, REGIONS},
};

/// Daemons of the fleet with all accounts, half of them in each region.
const FEW: usize = 4;
/// Daemons of the larger fleet with fewer accounts.
const MANY: usize = 48;
/// Targets of both fleets.
const TARGETS: usize = 20;
/// Time for a fleet to reach its steady state, in s.
const SETTLE_S: u64 = 3;
/// Length of the partition, in s. The cost depends on the number of changes, not on this time.
const APART_S: u64 = 2;
/// Maximum time to wait for convergence, in ms.
const CONVERGENCE_TIMEOUT_MS: u64 = 8_000;
/// Hours in a day.
const HOURS: f64 = 24.0;
/// Nanoseconds per millisecond.
const NS_PER_MS: f64 = 1e6;

/// A partition with the changes that are published during it.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    daemons: usize,
    accounts: usize,
    changes: usize,
    /// Whether the region that lost the platform reaches it again when the partition ends.
    platform_back: bool,
}

/// Measures an hour's and a day's changes at the design size.
pub fn measure() -> Report {
    let hour = (CHANGES_PER_DAY / HOURS).round() as usize;
    let day = CHANGES_PER_DAY as usize;
    let case = |name, daemons, accounts, changes, platform_back| Case {
        name,
        daemons,
        accounts,
        changes,
        platform_back,
    };
    let small = ACCOUNTS / 10;
    let mut report = Report::default();
    for case in [
        case("apart.hour_platform_back", FEW, ACCOUNTS, hour, true),
        case("apart.hour_peers_only", FEW, ACCOUNTS, hour, false),
        case("apart.day_peers_only", FEW, ACCOUNTS, day, false),
        case("apart.many_hour_peers_only", MANY, small, hour, false),
    ] {
        report.add(measure_case(case));
    }
    report
}

/// Measures a small case. All its results but the CPU time are the same in each run.
pub fn measure_exact() -> Report {
    measure_case(Case {
        name: "apart.tiny_peers_only",
        daemons: FEW,
        accounts: 380,
        changes: 10,
        platform_back: false,
    })
}

/// Publishes changes during a partition and counts the cost from its end until all daemons have converged.
fn measure_case(case: Case) -> Report {
    let published = Published::new(PublishedSize {
        daemons: case.daemons,
        targets: TARGETS,
        accounts: case.accounts,
    });
    let mut fleet = Fleet::new(FleetOptions::new(case.daemons, published));
    fleet.run_s(SETTLE_S);
    fleet.set_partition(true);
    fleet.set_platform_access(|number| number % REGIONS == 0);
    fleet.publish(|published| published.change_accounts(case.changes));
    fleet.run_s(APART_S);
    fleet.reset_counters();
    fleet.set_partition(false);
    fleet.set_platform_access(|number| case.platform_back || number % REGIONS == 0);
    let start_ms = fleet.now_ms();
    while fleet.converged_daemons() < case.daemons
        && fleet.now_ms() - start_ms < CONVERGENCE_TIMEOUT_MS
    {
        fleet.step();
    }
    let total = fleet.total();
    let name = |what: &str| format!("{}.{what}", case.name);
    let each = |sum: u64| sum as f64 / case.daemons as f64;
    let elapsed_ms = (fleet.now_ms() - start_ms) as f64;
    let converged = fleet.converged_daemons() as f64;
    Report {
        figures: vec![
            Figure::new(name("changes"), case.changes as f64, "records"),
            Figure::new(name("agreeing"), converged, "daemons").with_limit(case.daemons as f64),
            Figure::new(name("virtual_time"), elapsed_ms, "ms"),
            Figure::new(name("peer_bytes_each"), each(total.peer_bytes_out), "B"),
            Figure::new(
                name("platform_bytes_each"),
                each(total.platform_bytes_in),
                "B",
            ),
            Figure::new(
                name("frames_too_large"),
                total.frames_too_large as f64,
                "frames",
            ),
            Figure::new(name("cpu_each"), each(total.cpu_ns()) / NS_PER_MS, "ms"),
        ],
        ..Report::default()
    }
}
