//! Daemons that hold different records converge with few bytes sent.

use {
    crate::{
        daemons::options,
        fleet::{Fleet, LinkFaults, fleet},
        values::{account, envelope},
    },
    whinlatch_core::{Event, PlatformEvent},
    whinlatch_wire::{
        ids::Revision, peer::MAX_FRAME_BYTES, platform::RecordPage, record::RecordEnvelope,
    },
};

/// Delivers records to one core as if the platform had sent them to it alone.
fn deliver_records(fleet: &mut Fleet, index: usize, records: Vec<RecordEnvelope>) {
    let revision = records.last().map_or(Revision(0), |last| last.revision);
    let page = RecordPage {
        revision,
        records,
        more: false,
    };
    fleet.event(index, Event::Platform(PlatformEvent::Records(page)));
}

fn accounts(range: std::ops::Range<u64>) -> Vec<RecordEnvelope> {
    range
        .map(|n| {
            let name = format!("account-{n:05}");
            envelope(
                &format!("accounts/{name}"),
                n + 1,
                Some(&account(&name, 10)),
            )
        })
        .collect()
}

fn held(fleet: &Fleet, index: usize) -> Vec<(String, Option<Revision>)> {
    let report = fleet.nodes[index].core.records_report();
    report
        .records
        .into_iter()
        .map(|status| (status.key.to_string(), status.in_force))
        .collect()
}

fn all_have(fleet: &Fleet, count: usize) -> bool {
    (0..fleet.nodes.len()).all(|index| held(fleet, index).len() == count)
}

/// Two daemons without a platform; the first has the second as a seed.
fn two_without_platform() -> Fleet {
    let mut fleet = fleet(0, 5);
    fleet.platform.down = true;
    let mut first = options(0, 0, 3);
    first.seed_peers = vec![options(1, 0, 3).peer_address];
    fleet.add(first);
    fleet.add(options(1, 0, 3));
    fleet
}

// During a partition each side gets changes that the other lacks, some to the same records. When
// links are back, lossy ones included, both sides must hold the newest revision of each record.
#[test]
fn both_sides_of_a_partition_converge_on_the_join() {
    for seed in 0..5 {
        let mut fleet = fleet(6, seed);
        fleet.platform.down = true;
        fleet
            .nodes
            .iter_mut()
            .for_each(|node| node.platform_unreachable = true);
        fleet.run_ms(2_000);
        fleet.platform.down = false;
        fleet
            .nodes
            .iter_mut()
            .for_each(|node| node.platform_unreachable = false);
        fleet.run_ms(4_000);
        fleet.platform.down = true;
        fleet.partition(&[0, 1, 2], &[3, 4, 5]);
        deliver_records(&mut fleet, 0, accounts(0..40));
        deliver_records(&mut fleet, 4, accounts(30..70));
        let newer = envelope(
            "accounts/account-00003",
            90,
            Some(&account("account-00003", 77)),
        );
        deliver_records(&mut fleet, 5, vec![newer]);
        fleet.link_faults = LinkFaults {
            loss_per_mille: 200,
            duplicate_per_mille: 200,
            jitter_ms: 300,
        };
        fleet.run_ms(5_000);

        fleet.blocked.clear();
        fleet.run_until(60_000, "all hold the join", |fleet| all_have(fleet, 70));

        let report = held(&fleet, 1);
        assert_eq!(report[3].1, Some(Revision(90)));
        assert!((0..6).all(|index| held(&fleet, index) == report));
    }
}

// 38,000 records agree except for 25 spread over them. Fetching all at each heartbeat until they
// agree costs megabytes each time; only what differs may be sent.
#[test]
fn few_differences_among_many_records_cost_few_bytes() {
    let mut fleet = two_without_platform();
    let mut first = accounts(0..38_000);
    let second = first.clone();
    for n in 0..25 {
        let at = n * 1_500;
        first[at].revision = Revision(40_000 + n as u64);
    }
    deliver_records(&mut fleet, 0, first);
    deliver_records(&mut fleet, 1, second);

    fleet.run_until(10_000, "agree", |fleet| held(fleet, 0) == held(fleet, 1));
    fleet.run_ms(5_000);

    let bytes: u64 = fleet.nodes.iter().map(|node| node.sent_bytes).sum();
    println!("25 of 38,000 records repaired with {bytes} bytes");
    assert!(bytes < 100_000, "{bytes} bytes");
}

// Guards against a daemon that never gets any records: it starts empty next to one that holds 40 records
// of a megabyte each. All of them in one frame exceed the limit, and the link breaks each time.
#[test]
fn large_records_travel_in_frames_under_the_limit() {
    let mut fleet = two_without_platform();
    let large = " ".repeat(1_000_000);
    let records = accounts(0..40)
        .into_iter()
        .map(|record| RecordEnvelope {
            value: Some(format!("{}{large}", record.value.expect("a value")).into()),
            ..record
        })
        .collect();
    deliver_records(&mut fleet, 0, records);

    fleet.run_until(10_000, "all hold", |fleet| all_have(fleet, 40));

    assert!(fleet.largest_frame_bytes < MAX_FRAME_BYTES / 2);
}

// A daemon that starts next to seven others must not fetch all records from each of them.
#[test]
fn a_start_fetches_the_records_about_once() {
    let mut fleet = fleet(8, 3);
    fleet.platform.down = true;
    for index in 0..8 {
        deliver_records(&mut fleet, index, accounts(0..5_000));
    }
    fleet.platform.down = false;
    fleet.run_ms(5_000);
    fleet.platform.down = true;
    let before: u64 = fleet.nodes.iter().map(|node| node.sent_bytes).sum();
    let mut late = options(8, 0, 3);
    late.seed_peers = fleet
        .nodes
        .iter()
        .map(|node| node.options.peer_address)
        .collect();

    fleet.add(late);
    fleet.run_until(10_000, "all hold", |fleet| all_have(fleet, 5_000));

    let all: u64 = accounts(0..5_000)
        .iter()
        .map(|record| record.value.as_ref().map_or(0, |value| value.len() as u64))
        .sum();
    let after: u64 = fleet.nodes.iter().map(|node| node.sent_bytes).sum();
    println!("{} bytes for {all} of values", after - before);
    assert!(after - before < all * 2, "{} bytes", after - before);
}
