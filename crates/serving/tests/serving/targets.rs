//! Published targets, and the choice among targets of plain services.

use {
    super::fixture::{START, address_of, change, engine_entry, removal, run_change},
    std::collections::{HashMap, HashSet},
    whinlatch_serving::{
        names::TargetId,
        targets::{
            AddressTakeover, CallLoads, ChangeOutcome, PublishedChanges, TargetChange, TargetEntry,
            TargetRegistry, TargetState,
        },
    },
};

/// The publication of a target at the address of `e-1`.
fn at_same_address(name: &str, revision: u64, started_at_ms: Option<u64>) -> TargetChange {
    let mut change = match started_at_ms {
        Some(started_at_ms) => run_change(name, revision, started_at_ms),
        None => change(name, revision, TargetState::Ready),
    };
    if let Some(entry) = &mut change.entry {
        entry.address = address_of("e-1");
    }
    change
}

fn registry() -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    registry.apply_store_change(START, &change("e-1", 5, TargetState::Ready));
    registry
}

fn is_ready(registry: &TargetRegistry) -> bool {
    registry.ready("engines").next().is_some()
}

#[test]
fn a_removal_takes_effect_immediately() {
    let mut registry = registry();

    let outcome = registry.apply_store_change(START, &removal("e-1", 6));

    assert_eq!(outcome, ChangeOutcome::Applied);
    assert!(!is_ready(&registry));
}

/// Guards against requests that are all refused though the targets are alive: their entries expired while
/// the store was down.
#[test]
fn entries_that_expired_while_the_store_was_down_count_during_the_grace_time() {
    let mut registry = registry();
    registry.record_store_failure();
    registry.record_store_answer(START + 5_000);

    let outcome = registry.apply_store_change(START + 5_010, &removal("e-1", 6));
    let early = registry.confirm_removals(START + 7_000);
    let ready_meanwhile = is_ready(&registry);
    let late = registry.confirm_removals(START + 7_400);

    assert_eq!(outcome, ChangeOutcome::Unconfirmed);
    assert!(early.is_empty());
    assert!(ready_meanwhile);
    assert_eq!(late.len(), 1);
    assert!(!is_ready(&registry));
}

#[test]
fn an_entry_published_again_after_it_expired_stays() {
    let mut registry = registry();
    registry.record_store_failure();
    registry.record_store_answer(START + 5_000);
    registry.apply_store_change(START + 5_010, &removal("e-1", 6));

    registry.apply_store_change(START + 6_000, &change("e-1", 7, TargetState::Ready));

    assert!(registry.confirm_removals(START + 8_000).is_empty());
    assert!(is_ready(&registry));
}

/// Guards against a draining target whose removal, which came while the store was down, is taken for an
/// expired entry and stays unconfirmed.
#[test]
fn a_draining_target_is_removed_with_its_entry() {
    let mut registry = registry();
    registry.apply_store_change(START, &change("e-1", 6, TargetState::Draining));
    registry.record_store_failure();

    registry.apply_store_change(START, &removal("e-1", 7));

    assert!(registry.entry("e-1").is_none());
}

#[test]
fn a_removal_from_a_peer_takes_effect_immediately() {
    let mut registry = registry();
    registry.record_store_failure();

    assert!(registry.apply_peer_change(START, &removal("e-1", 6)));
    assert!(!is_ready(&registry));
}

#[test]
fn an_older_change_has_no_effect() {
    let mut registry = registry();
    registry.apply_store_change(START, &change("e-1", 9, TargetState::Draining));

    let news = registry.apply_peer_change(START, &change("e-1", 7, TargetState::Ready));

    assert!(!news);
    assert!(!is_ready(&registry));
}

#[test]
fn a_snapshot_removes_missing_entries() {
    let mut registry = registry();

    let listed = PublishedChanges {
        targets: vec![change("e-2", 12, TargetState::Ready)],
        ..PublishedChanges::default()
    };
    registry.apply_store_snapshot(START, 20, listed);

    let names: Vec<String> = registry
        .ready("engines")
        .map(|entry| entry.id.to_string())
        .collect();
    assert_eq!(names, ["e-2"]);
}

/// Guards against a target that reports that it is healthy, fails four of ten calls and gets as many as the
/// others.
#[test]
fn a_target_that_fails_gets_few_calls() {
    let entries = [
        engine_entry("good", TargetState::Ready),
        engine_entry("grey", TargetState::Ready),
    ];
    let mut loads = CallLoads::default();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut counts: HashMap<String, u32> = HashMap::new();

    for number in 0..200 {
        let now = START + 20 * number;
        let chosen = loads.choose(now, entries.iter(), &[], &mut rng).unwrap();
        let id = chosen.id.clone();
        let failed = &*id == "grey" && number % 5 < 2;
        loads.record_sent(&id);
        loads.record_ended(now, &id, 30.0, failed);
        *counts.entry(id.to_string()).or_default() += 1;
    }

    assert!(counts["good"] > 3 * counts["grey"], "{counts:?}");
}

#[test]
fn a_recovered_target_is_tried_again() {
    let entries = [
        engine_entry("good", TargetState::Ready),
        engine_entry("recovered", TargetState::Ready),
    ];
    let mut loads = CallLoads::default();
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..10 {
        loads.record_sent(&"recovered".into());
        loads.record_ended(START, "recovered", 30.0, true);
    }

    let tried = (0..200).any(|number| {
        let now = START + 10_000 + number;
        &*loads.choose(now, entries.iter(), &[], &mut rng).unwrap().id == "recovered"
    });

    assert!(tried);
}

#[test]
fn an_unreachable_target_is_a_last_resort_for_a_while() {
    let entries = [
        engine_entry("here", TargetState::Ready),
        engine_entry("away", TargetState::Ready),
    ];
    let mut loads = CallLoads::default();
    let mut rng = fastrand::Rng::with_seed(7);
    loads.record_unreachable(START, &"away".into());

    let unreachable_only = &entries[1..];
    let is_avoided = (0..50).all(|_| {
        &*loads
            .choose(START, entries.iter(), &[], &mut rng)
            .unwrap()
            .id
            == "here"
    });

    assert!(is_avoided);
    assert!(
        loads
            .choose(START, unreachable_only.iter(), &[], &mut rng)
            .is_some()
    );
    assert!(!loads.is_unreachable(START + 1_600, "away"));
}

#[test]
fn the_newer_of_two_entries_owns_their_address() {
    let mut registry = registry();

    registry.apply_store_change(START, &at_same_address("e-2", 7, None));

    assert_eq!(registry.ready_ids(), ["e-2"]);
    assert_eq!(&*registry.ready_at(address_of("e-1")).unwrap().id, "e-2");
}

/// Guards against calls to a target that no longer runs: its last publication reached the store after the
/// first one of the target that took over its address.
#[test]
fn the_later_start_owns_an_address_whatever_was_published_last() {
    let mut registry = TargetRegistry::default();
    registry.apply_store_change(START, &run_change("e-1", 5, 2_000));

    registry.apply_store_change(START, &at_same_address("e-2", 7, Some(1_000)));

    assert_eq!(registry.ready_ids(), ["e-1#2000"]);
}

/// Guards against prompts that are refused for two seconds after the store's return: entries of crashed targets
/// expired, the removals are unconfirmed, and the entries of the next runs have the same addresses.
#[test]
fn an_expired_entry_gives_way_to_the_next_run_immediately() {
    let mut registry = registry();
    registry.apply_store_change(START, &at_same_address("e-2", 6, None));
    registry.apply_store_change(START, &change("e-1", 7, TargetState::Ready));
    registry.record_store_failure();
    registry.record_store_answer(START + 5_000);

    registry.apply_store_change(START + 5_010, &removal("e-1", 8));

    assert_eq!(registry.ready_ids(), ["e-2"]);
}

#[test]
fn a_target_that_answers_for_another_owns_its_address_until_a_new_publication() {
    let mut registry = registry();
    registry.apply_store_change(START, &at_same_address("e-2", 7, None));
    let takeover = registry.takeover_of("e-2").unwrap();

    let is_news = [
        registry.apply_takeover(&takeover),
        registry.apply_takeover(&takeover),
    ];
    let meanwhile = registry.ready_ids();
    registry.apply_store_change(START, &at_same_address("e-2", 9, None));

    assert_eq!(is_news, [true, false]);
    assert_eq!(meanwhile, ["e-1"]);
    assert_eq!(registry.ready_ids(), ["e-2"]);
}

#[test]
fn a_takeover_may_be_reported_before_its_entry() {
    let mut registry = registry();
    let takeover = AddressTakeover {
        name: "e-2".into(),
        revision: 7,
    };

    registry.apply_takeover(&takeover);
    registry.confirm_removals(START + 10);
    registry.apply_peer_change(START + 20, &at_same_address("e-2", 7, None));

    assert_eq!(registry.ready_ids(), ["e-1"]);
}

#[test]
fn a_target_that_restarts_under_its_name_is_another_run() {
    let mut registry = TargetRegistry::default();
    registry.apply_store_change(START, &run_change("e-1", 5, 1_000));
    let former = registry.entry("e-1#1000").unwrap().clone();

    registry.apply_store_change(START, &run_change("e-1", 6, 2_000));

    let current = registry.entry("e-1#2000").unwrap();
    assert!(registry.entry("e-1#1000").is_none());
    assert!(former.started_before(current));
    assert_eq!((former.name(), current.name()), ("e-1", "e-1"));
}

/// Guards against a target that gets no requests while another program's entry exists: both runs had the same
/// id, and the removal of one removed the other.
#[test]
fn no_two_runs_have_the_same_id() {
    let runs = [
        ("e-1", Some(5)),
        ("e-1#5", None),
        ("e-1#", Some(5)),
        ("e-1#", None),
    ];

    let entries = runs.map(|(name, started_at_ms)| TargetEntry {
        id: TargetEntry::run_id(name, started_at_ms),
        started_at_ms,
        ..engine_entry(name, TargetState::Ready)
    });

    let ids: HashSet<&TargetId> = entries.iter().map(|entry| &entry.id).collect();
    assert_eq!(ids.len(), runs.len(), "{ids:?}");
    for (entry, (name, _)) in entries.iter().zip(runs) {
        assert_eq!(entry.name(), name);
    }
}

/// Guards against a target that gets requests for seconds after its entry became unreadable: the store was
/// down a moment ago, and removals are unconfirmed then.
#[test]
fn an_entry_that_becomes_unreadable_removes_its_target_immediately() {
    let mut registry = registry();
    registry.record_store_failure();
    registry.record_store_answer(START + 5_000);

    let unreadable = TargetChange {
        is_unreadable: true,
        ..removal("e-1", 6)
    };
    registry.apply_store_change(START + 5_010, &unreadable);

    assert!(!is_ready(&registry));
}
