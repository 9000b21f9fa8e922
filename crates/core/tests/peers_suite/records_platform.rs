//! A platform that is down, stale or without history, and the number of reads it gets.

use {
    crate::{
        daemons::options,
        fleet::{Fleet, fleet},
        values::{account, policy},
    },
    whinlatch_wire::{ids::Revision, report::RecordState},
};

/// Returns the revision in force of a key on one daemon; `None` if it has none or is deleted.
fn in_force(fleet: &Fleet, index: usize, key: &str) -> Option<Revision> {
    let report = fleet.nodes[index].core.records_report();
    let status = report
        .records
        .into_iter()
        .find(|status| status.key.as_str() == key)?;
    match status.state {
        RecordState::Deleted => None,
        _ => status.in_force,
    }
}

fn one_daemon_with_three_records() -> Fleet {
    let mut fleet = fleet(1, 1);
    for name in ["a", "b", "c"] {
        fleet.platform.publish(name, &account(name, 1));
    }
    fleet.run_ms(3_000);
    fleet
}

// The platform is restored from an old copy while the daemon can't reach it, and operators publish
// again. Guards against a daemon that continues after the revision it had read and misses the first new
// records.
#[test]
fn a_watch_that_is_ahead_of_a_restored_platform_misses_nothing() {
    let mut fleet = fleet(1, 1);
    fleet.platform.publish("a", &account("a", 1));
    let copy = fleet.platform.clone();
    fleet.platform.publish("b", &account("b", 1));
    fleet.platform.publish("c", &account("c", 1));
    fleet.run_ms(3_000);
    fleet.nodes[0].platform_unreachable = true;
    fleet.run_ms(40_000);
    fleet.platform = copy;
    for name in ["d", "e", "f"] {
        fleet.platform.publish(name, &account(name, 1));
    }

    fleet.nodes[0].platform_unreachable = false;
    fleet.run_ms(30_000);

    assert_eq!(in_force(&fleet, 0, "d"), Some(Revision(2)));
    assert_eq!(in_force(&fleet, 0, "f"), Some(Revision(4)));
    assert_eq!(in_force(&fleet, 0, "c"), Some(Revision(3)));
}

// The platform answers from an old copy. No record may go back to an older revision or vanish, and
// records published there must be applied, also when their revision is below one the daemon holds.
#[test]
fn a_stale_platform_undoes_nothing() {
    let mut fleet = fleet(1, 1);
    fleet.platform.publish("a", &account("a", 1));
    let mut copy = fleet.platform.clone();
    fleet.platform.publish("a", &account("a", 2));
    fleet.platform.publish("b", &account("b", 1));
    fleet.run_ms(3_000);
    copy.compact();
    copy.publish("z", &account("z", 1));

    fleet.platform = copy;
    fleet.run_ms(60_000);

    assert_eq!(in_force(&fleet, 0, "a"), Some(Revision(2)));
    assert_eq!(in_force(&fleet, 0, "b"), Some(Revision(3)));
    assert_eq!(in_force(&fleet, 0, "z"), Some(Revision(2)));
}

// The platform is stale for a while and then normal again, with changes published in both states.
#[test]
fn a_platform_that_recovers_from_an_old_state_is_read_in_full() {
    let mut fleet = one_daemon_with_three_records();
    fleet.platform.page_records = 2;
    let normal = fleet.platform.clone();
    fleet.platform.records.truncate(1);
    fleet.platform.revision = 1;
    fleet.run_ms(30_000);
    fleet.platform = normal;

    fleet.platform.publish("d", &account("d", 1));
    fleet.run_ms(40_000);

    assert_eq!(in_force(&fleet, 0, "c"), Some(Revision(3)));
    assert_eq!(in_force(&fleet, 0, "d"), Some(Revision(4)));
}

// An account is deleted while a daemon can't reach the platform, which then drops its history, the
// tombstone included. Guards against the account staying in force on that daemon for good.
#[test]
fn a_deletion_lost_from_history_is_found_by_absence() {
    let mut fleet = one_daemon_with_three_records();
    fleet.nodes[0].platform_unreachable = true;
    fleet.run_ms(3_000);
    fleet.platform.delete("b");
    fleet.platform.publish("d", &account("d", 1));
    fleet.platform.compact();

    fleet.nodes[0].platform_unreachable = false;
    fleet.run_ms(40_000);

    assert_eq!(in_force(&fleet, 0, "b"), None);
    assert_eq!(in_force(&fleet, 0, "a"), Some(Revision(1)));
    assert_eq!(in_force(&fleet, 0, "d"), Some(Revision(5)));
}

// A daemon starts next to a peer that holds the newest records, and reads a stale platform first.
// Records that the stale platform lacks must not be deleted.
#[test]
fn a_stale_platform_at_the_start_deletes_nothing() {
    let mut fleet = one_daemon_with_three_records();
    fleet.platform.records.truncate(1);
    fleet.platform.revision = 1;

    let late = fleet.add(options(1, 0, 3));
    fleet.run_ms(60_000);

    for index in [0, late] {
        assert_eq!(in_force(&fleet, index, "b"), Some(Revision(2)));
        assert_eq!(in_force(&fleet, index, "c"), Some(Revision(3)));
    }
}

// A daemon gets new records from its peer only. The platform comes back in an older state without
// history. Records that it lacks were published after that state, not deleted.
#[test]
fn a_stale_platform_without_history_deletes_nothing() {
    let mut fleet = fleet(2, 1);
    fleet.platform.publish("a", &account("a", 1));
    fleet.run_ms(3_000);
    fleet.nodes[0].platform_unreachable = true;
    fleet.platform.publish("b", &account("b", 1));
    let mut stale = fleet.platform.clone();
    stale.compact();
    fleet.platform.publish("c", &account("c", 1));
    fleet.run_ms(3_000);
    fleet.nodes[1].platform_unreachable = true;
    fleet.platform = stale;

    fleet.nodes[0].platform_unreachable = false;
    fleet.run_ms(40_000);

    assert_eq!(in_force(&fleet, 0, "c"), Some(Revision(3)));
    assert_eq!(in_force(&fleet, 1, "c"), Some(Revision(3)));
}

/// Returns the platform reads per second, counted in the second of two minutes.
fn measure_reads_per_s(fleet: &mut Fleet) -> f64 {
    fleet.run_ms(60_000);
    let before = fleet.platform.reads;
    fleet.run_ms(60_000);
    (fleet.platform.reads - before) as f64 / 60.0
}

// The policy record allows the fleet five platform reads a second. Nine daemons that each read the
// list once a second would exceed that.
#[test]
fn reads_stay_within_the_budget_of_the_policy() {
    let mut fleet = fleet(9, 1);
    fleet.platform.publish("policy", &policy(5.0));

    let reads_per_s = measure_reads_per_s(&mut fleet);

    println!("{reads_per_s:.2} reads a second of 5 allowed");
    assert!(reads_per_s <= 5.0, "{reads_per_s}");
}

// Platform reads must not grow with the fleet. In a large fleet a few daemons of each failure
// domain watch the platform and the others get records from them; when the watchers die, others
// take over.
#[test]
fn few_daemons_watch_in_a_large_fleet_and_others_replace_them() {
    let mut fleet = fleet(40, 1);
    let reads_per_s = measure_reads_per_s(&mut fleet);
    println!("{reads_per_s:.2} reads a second by 40 daemons");
    assert!(reads_per_s <= 12.0, "{reads_per_s}");

    fleet.platform.publish("a", &account("a", 1));
    let all_have = |fleet: &Fleet, key: &str| {
        let up = (0..40).filter(|index| fleet.is_up(*index));
        up.into_iter()
            .all(|index| in_force(fleet, index, key).is_some())
    };
    let first_ms = fleet.run_until(8_000, "in force on all", |fleet| all_have(fleet, "a"));
    println!("in force on 40 daemons after {first_ms} ms");

    let watching: Vec<usize> = (0..40)
        .filter(|index| {
            fleet.nodes[*index]
                .core
                .status(whinlatch_core::MonoMs(0))
                .platform
                .reads
                > 60
        })
        .collect();
    assert!(watching.len() <= 12, "{watching:?}");
    for index in watching {
        fleet.kill(index);
    }
    fleet.run_ms(15_000);
    fleet.platform.publish("b", &account("b", 1));
    let second_ms = fleet.run_until(8_000, "in force on the rest", |fleet| all_have(fleet, "b"));
    println!("in force on the rest after {second_ms} ms");
}
