//! The platform is down, stale, or has forgotten its history; its reads are counted.

use {
    crate::{
        daemons::options,
        fleet::{Fleet, fleet},
        values::{account, policy},
    },
    whinlatch_wire::{ids::Revision, report::RecordState},
};

/// Key, revision in force and whether it is a tombstone, as one daemon reports them.
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

fn one_with_three_records() -> Fleet {
    let mut fleet = fleet(1, 1);
    for name in ["a", "b", "c"] {
        fleet.platform.publish(name, &account(name, 1));
    }
    fleet.run_ms(3_000);
    fleet
}

// The platform is restored from an old copy while the daemon can't reach it, and operators publish
// again. The daemon went on after the revision it had read and missed the first of the new ones.
#[test]
fn a_watch_that_is_ahead_of_a_restored_platform_misses_nothing() {
    let mut fleet = fleet(1, 1);
    fleet.platform.publish("a", &account("a", 1));
    let copy = fleet.platform.clone();
    fleet.platform.publish("b", &account("b", 1));
    fleet.platform.publish("c", &account("c", 1));
    fleet.run_ms(3_000);
    fleet.nodes[0].platform_cut = true;
    fleet.run_ms(40_000);
    fleet.platform = copy;
    for name in ["d", "e", "f"] {
        fleet.platform.publish(name, &account(name, 1));
    }

    fleet.nodes[0].platform_cut = false;
    fleet.run_ms(30_000);

    assert_eq!(in_force(&fleet, 0, "d"), Some(Revision(2)));
    assert_eq!(in_force(&fleet, 0, "f"), Some(Revision(4)));
    assert_eq!(in_force(&fleet, 0, "c"), Some(Revision(3)));
}

// The platform answers from an old copy. Nothing may go back or vanish, and what is published
// there must be taken, also when its revision is below one that the daemon holds.
#[test]
fn a_stale_platform_takes_nothing_back() {
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

// The platform is stale for a while and then normal again, with changes of both times.
#[test]
fn a_platform_that_is_normal_again_is_read_whole() {
    let mut fleet = one_with_three_records();
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

// An account is deleted while a daemon can't reach the platform, which then forgets its history
// and the tombstone. The account stayed in force on that daemon for good.
#[test]
fn a_deletion_that_the_platform_forgot_is_found_by_absence() {
    let mut fleet = one_with_three_records();
    fleet.nodes[0].platform_cut = true;
    fleet.run_ms(3_000);
    fleet.platform.delete("b");
    fleet.platform.publish("d", &account("d", 1));
    fleet.platform.compact();

    fleet.nodes[0].platform_cut = false;
    fleet.run_ms(40_000);

    assert_eq!(in_force(&fleet, 0, "b"), None);
    assert_eq!(in_force(&fleet, 0, "a"), Some(Revision(1)));
    assert_eq!(in_force(&fleet, 0, "d"), Some(Revision(5)));
}

// A daemon starts beside a peer that holds the newest records, and reads a stale platform first.
// What the stale platform doesn't name is not deleted.
#[test]
fn a_stale_platform_at_the_start_deletes_nothing() {
    let mut fleet = one_with_three_records();
    fleet.platform.records.truncate(1);
    fleet.platform.revision = 1;

    let late = fleet.add(options(1, 0, 3));
    fleet.run_ms(60_000);

    for index in [0, late] {
        assert_eq!(in_force(&fleet, index, "b"), Some(Revision(2)));
        assert_eq!(in_force(&fleet, index, "c"), Some(Revision(3)));
    }
}

// A daemon hears of new records from its peer only. The platform comes back in an older state than
// that, with its history gone. What it doesn't name was published after that state, not deleted.
#[test]
fn a_stale_platform_without_history_deletes_nothing() {
    let mut fleet = fleet(2, 1);
    fleet.platform.publish("a", &account("a", 1));
    fleet.run_ms(3_000);
    fleet.nodes[0].platform_cut = true;
    fleet.platform.publish("b", &account("b", 1));
    let mut stale = fleet.platform.clone();
    stale.compact();
    fleet.platform.publish("c", &account("c", 1));
    fleet.run_ms(3_000);
    fleet.nodes[1].platform_cut = true;
    fleet.platform = stale;

    fleet.nodes[0].platform_cut = false;
    fleet.run_ms(40_000);

    assert_eq!(in_force(&fleet, 0, "c"), Some(Revision(3)));
    assert_eq!(in_force(&fleet, 1, "c"), Some(Revision(3)));
}

/// Reads that the platform counts in the second half of two minutes.
fn reads_a_second(fleet: &mut Fleet) -> f64 {
    fleet.run_ms(60_000);
    let before = fleet.platform.reads;
    fleet.run_ms(60_000);
    (fleet.platform.reads - before) as f64 / 60.0
}

// The policy record allows the fleet five reads of the platform a second. Nine daemons that each
// read the list once a second made ten.
#[test]
fn reads_stay_in_the_budget_of_the_policy() {
    let mut fleet = fleet(9, 1);
    fleet.platform.publish("policy", &policy(5.0));

    let reads_per_s = reads_a_second(&mut fleet);

    println!("{reads_per_s:.2} reads a second of 5 allowed");
    assert!(reads_per_s <= 5.0, "{reads_per_s}");
}

// Reads grow with the fleet while the platform's rates don't. In a large fleet a few daemons of
// each failure domain watch, and the others get records from them.
#[test]
fn few_daemons_watch_in_a_large_fleet_and_their_death_stops_nothing() {
    let mut fleet = fleet(40, 1);
    let reads_per_s = reads_a_second(&mut fleet);
    println!("{reads_per_s:.2} reads a second by 40 daemons");
    assert!(reads_per_s <= 12.0, "{reads_per_s}");

    fleet.platform.publish("a", &account("a", 1));
    let hold = |fleet: &Fleet, key: &str| {
        let up = (0..40).filter(|index| fleet.is_up(*index));
        up.into_iter()
            .all(|index| in_force(fleet, index, key).is_some())
    };
    let first_ms = fleet.until(8_000, "in force on all", |fleet| hold(fleet, "a"));
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
    let second_ms = fleet.until(8_000, "in force on the rest", |fleet| hold(fleet, "b"));
    println!("in force on the rest after {second_ms} ms");
}
