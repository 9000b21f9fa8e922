//! A daemon that starts while the platform is down gets the records in force from its peers.

use {
    crate::{
        daemons::options,
        fleet::{Fleet, fleet},
        values::{target, unknown_schema},
    },
    whinlatch_wire::{ids::Revision, report::RecordStatus},
};

fn status(fleet: &Fleet, index: usize, key: &str) -> Option<RecordStatus> {
    let report = fleet.nodes[index].core.records_report();
    report
        .records
        .into_iter()
        .find(|status| status.key.as_str() == key)
}

fn in_force(fleet: &Fleet, index: usize, key: &str) -> Option<Revision> {
    status(fleet, index, key).and_then(|status| status.in_force)
}

fn late_starter_with_newest(newest: &str) -> (Fleet, usize) {
    let mut fleet = fleet(2, 1);
    fleet
        .platform
        .publish("targets/a", &target("labels-1", 7001));
    fleet.run_ms(3_000);
    fleet.platform.publish("targets/a", newest);
    fleet.run_ms(3_000);
    fleet.platform.down = true;
    let mut late = options(2, 0, 3);
    late.seed_peers = vec![fleet.nodes[0].options.peer_address];
    let late = fleet.add(late);
    fleet.run_ms(10_000);
    (fleet, late)
}

// An invalid revision is published, then the platform goes down and a daemon starts. Guards against it
// getting only the invalid revision from its peers: it would have nothing in force while they serve on.
#[test]
fn a_late_starter_gets_the_former_revision_where_the_newest_is_invalid() {
    let (fleet, late) = late_starter_with_newest("{ broken");

    let status = status(&fleet, late, "targets/a").expect("the record is held");

    assert_eq!(status.revision, Revision(2));
    assert_eq!(status.in_force, Some(Revision(1)));
}

// A record of an unknown schema must be passed on unchanged, for builds that know the schema, while
// the former revision stays in force here.
#[test]
fn a_late_starter_gets_an_unknown_schema_untouched_and_the_former_in_force() {
    let value = unknown_schema("x");
    let (fleet, late) = late_starter_with_newest(&value);

    assert_eq!(in_force(&fleet, late, "targets/a"), Some(Revision(1)));
    let held = status(&fleet, late, "targets/a").expect("held");
    assert_eq!(held.revision, Revision(2));
}

// All daemons hold the same, so their summaries agree and no further pulls start.
#[test]
fn daemons_with_an_invalid_newest_revision_agree() {
    let (fleet, late) = late_starter_with_newest("{ broken");

    let status = status(&fleet, late, "targets/a").expect("held");

    assert_eq!(status.instances.len(), 3);
}
