//! Two regions that were apart: bytes and time to agree again.

use crate::capacity::{
    fleet::{Fleet, FleetOptions, Published, PublishedSize},
    report::{Figure, Report},
    size::{ACCOUNTS, CHANGES_PER_DAY, REGIONS},
};

/// Daemons that hold all accounts, half of them in each region.
const FEW: usize = 4;
/// Daemons of a larger fleet with fewer accounts.
const MANY: usize = 48;
/// Targets.
const TARGETS: usize = 20;
/// Time for a fleet to come to rest, in s.
const SETTLE_S: u64 = 3;
/// Time that the regions are apart, in s. Only the changes matter, not how long they take.
const APART_S: u64 = 2;
/// Longest time that the repair is followed, in ms.
const FOLLOW_MS: u64 = 8_000;
/// Hours in a day.
const HOURS: f64 = 24.0;
/// ns in a ms.
const NS_PER_MS: f64 = 1e6;

/// One case of regions that were apart.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    daemons: usize,
    accounts: usize,
    changes: usize,
    /// Whether the region that lost the platform has it back when the regions meet.
    platform_back: bool,
}

/// Measures an hour's and a day's changes at the size that is designed for.
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

/// Measures a small case.
pub fn measure_exact() -> Report {
    measure_case(Case {
        name: "apart.tiny_peers_only",
        daemons: FEW,
        accounts: 380,
        changes: 10,
        platform_back: false,
    })
}

fn measure_case(case: Case) -> Report {
    let published = Published::of(PublishedSize {
        daemons: case.daemons,
        targets: TARGETS,
        accounts: case.accounts,
    });
    let mut fleet = Fleet::new(FleetOptions::new(case.daemons, published));
    fleet.run_s(SETTLE_S);
    fleet.part_regions(true);
    fleet.platform_reaches(|number| number % REGIONS == 0);
    fleet.publish(|published| published.change_accounts(case.changes));
    fleet.run_s(APART_S);
    fleet.reset_counters();
    fleet.part_regions(false);
    fleet.platform_reaches(|number| case.platform_back || number % REGIONS == 0);
    let begun_ms = fleet.now_ms();
    while fleet.in_agreement() < case.daemons && fleet.now_ms() - begun_ms < FOLLOW_MS {
        fleet.step();
    }
    let total = fleet.total();
    let name = |what: &str| format!("{}.{what}", case.name);
    let each = |sum: u64| sum as f64 / case.daemons as f64;
    let took_ms = (fleet.now_ms() - begun_ms) as f64;
    let agreeing = fleet.in_agreement() as f64;
    Report {
        figures: vec![
            Figure::new(name("changes"), case.changes as f64, "records"),
            Figure::new(name("agreeing"), agreeing, "daemons").against(case.daemons as f64),
            Figure::new(name("virtual_time"), took_ms, "ms"),
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
