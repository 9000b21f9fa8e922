//! Evacuations: failure domains whose targets must get nothing new.

use {
    super::{
        fixture::{START, change, engine_entry, instance, member, removal},
        fleet_fixture::Fleet,
    },
    proptest::prelude::*,
    whinlatch_serving::{
        CallRequest, Refusal, Serving,
        fleet::Frame,
        relays::{KnownState, RelayStatus},
        targets::{
            EvacuationChange, PublishedChanges, TargetChange, TargetEntry, TargetRegistry,
            TargetState,
        },
    },
};

/// Steps after which all instances of a fleet know each other.
const STEPS_TO_SETTLE: usize = 24;
/// Steps in two seconds, well within which an evacuation must be known everywhere.
const STEPS_IN_TIME: usize = 8;

fn evacuation(revision: u64, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange {
        failure_domain: "east".into(),
        revision,
        is_evacuated,
    }
}

fn in_domain(name: &str, revision: u64, domain: &str) -> TargetChange {
    TargetChange {
        entry: Some(TargetEntry {
            failure_domain: domain.into(),
            ..engine_entry(name, TargetState::Ready)
        }),
        ..removal(name, revision)
    }
}

fn ready_ids(registry: &TargetRegistry) -> Vec<String> {
    registry.ready_ids()
}

fn place_call(serving: &mut Serving) -> Result<String, Refusal> {
    let request = CallRequest {
        parts: &[],
        service: &"engines".into(),
        fingerprint: Default::default(),
        tried: &[],
        is_repeat: false,
    };
    let placed = serving.place_call(START, &request);
    placed.map(|placement| placement.target.id.to_string())
}

#[test]
fn targets_of_an_evacuated_domain_get_nothing_until_the_evacuation_ends() {
    let mut registry = TargetRegistry::default();
    for (name, domain) in [("e-1", "east"), ("e-2", "west")] {
        registry.apply_store_change(START, &in_domain(name, 3, domain));
    }

    registry.apply_evacuation(START, &evacuation(5, true));
    let during = ready_ids(&registry);
    registry.apply_evacuation(START, &evacuation(9, false));

    assert_eq!(during, ["e-2"]);
    assert_eq!(ready_ids(&registry), ["e-1", "e-2"]);
}

/// Guards against requests that wait for their deadline while nothing may take them.
#[test]
fn a_call_is_refused_immediately_while_all_domains_are_evacuated() {
    let mut serving = instance(1, 3);

    serving.apply_evacuation(START, &evacuation(9, true));
    let refused = place_call(&mut serving);

    assert_eq!(refused, Err(Refusal::NoTarget));
    assert!(Refusal::NoTarget.retry_after_ms().is_some());
}

/// Guards against an evacuation that goes on for an instance that was cut off when it ended, or that never
/// received the removal since the store had dropped its history.
#[test]
fn an_evacuation_that_a_complete_list_lacks_has_ended() {
    let mut registry = TargetRegistry::default();
    registry.apply_store_change(START, &in_domain("e-1", 3, "east"));
    registry.apply_evacuation(START, &evacuation(5, true));

    let applied = registry.apply_peer_snapshot(
        START,
        8,
        PublishedChanges {
            targets: vec![in_domain("e-1", 3, "east")],
            ..PublishedChanges::default()
        },
    );

    assert_eq!(applied.evacuations, [evacuation(8, false)]);
    assert_eq!(ready_ids(&registry), ["e-1"]);
}

/// Guards against an evacuation that is lost by a list that was read before it was requested.
#[test]
fn an_older_complete_list_does_not_end_an_evacuation() {
    let mut registry = TargetRegistry::default();
    registry.apply_evacuation(START, &evacuation(5, true));

    registry.apply_store_snapshot(START, 4, PublishedChanges::default());

    assert_eq!(registry.evacuated_domains().count(), 1);
}

/// Guards against removals that wait for the store's return, as those of targets do: an evacuation never
/// expires, so its removal during an outage is the operator's.
#[test]
fn an_evacuation_ends_immediately_even_after_an_outage_of_the_store() {
    let mut registry = TargetRegistry::default();
    registry.apply_store_change(START, &in_domain("e-1", 3, "east"));
    registry.apply_evacuation(START, &evacuation(5, true));

    registry.record_store_failure();
    registry.record_store_answer(START + 100);
    registry.apply_evacuation(START + 100, &evacuation(6, false));

    assert_eq!(ready_ids(&registry), ["e-1"]);
}

proptest! {
    /// Guards against instances that differ on an evacuation because changes reached them in different orders.
    #[test]
    fn evacuations_converge_in_any_order(
        order in Just((1..9_u64).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut registry = TargetRegistry::default();

        for revision in order.iter().chain(&order) {
            registry.apply_evacuation(START, &evacuation(*revision, revision % 2 == 0));
        }

        prop_assert_eq!(registry.evacuated_domains().count(), 1);
    }
}

fn know_evacuation(fleet: &Fleet, is_evacuated: bool) -> bool {
    let mut alive = fleet.alive.values();
    alive.all(|serving| serving.evacuated_domains().is_empty() != is_evacuated)
}

/// Guards against an evacuation that reaches only the instances that read the store: those that follow relays,
/// are refused by the store or start later would go on sending.
#[test]
fn an_evacuation_and_its_end_reach_all_instances() {
    for size in [9, 62, 85] {
        let mut fleet = Fleet::in_domains(size, 3);
        fleet.steps(STEPS_TO_SETTLE);
        let refused: Vec<_> = fleet
            .alive
            .keys()
            .take(size as usize / 3)
            .copied()
            .collect();
        fleet.store.refused.extend(refused);
        fleet.steps(STEPS_IN_TIME);

        fleet.store.evacuations.push(evacuation(7, true));
        fleet.steps(STEPS_IN_TIME);
        let all_know_begin = know_evacuation(&fleet, true);
        fleet.store.evacuations.push(evacuation(8, false));
        fleet.steps(STEPS_IN_TIME);

        assert!(all_know_begin, "{size}");
        assert!(know_evacuation(&fleet, false), "{size}");
    }
}

/// Guards against a target that gets requests again since its entry is newer than the evacuation.
#[test]
fn an_entry_written_during_an_evacuation_does_not_end_it() {
    let mut registry = TargetRegistry::default();
    registry.apply_evacuation(START, &evacuation(5, true));

    registry.apply_store_change(START, &change("e-1", 9, TargetState::Ready));

    assert!(ready_ids(&registry).is_empty());
}

/// Guards against an evacuation that ends during a rolling replacement of the fleet, since a relay of the former build
/// sends a complete list of targets without it, or that is never learned from such a relay, whose status confirms that
/// all is known.
#[test]
fn a_relay_of_a_former_build_neither_ends_an_evacuation_nor_confirms_that_there_is_none() {
    let mut serving = instance(1, 3);
    let relay = member(2, 8_000);
    let greeting = Frame {
        member: Some(relay),
        ..Frame::default()
    };
    serving.on_frame(START, 2, greeting, |_text| None);
    serving.apply_evacuation(START, &evacuation(5, true));
    let former_status = RelayStatus {
        is_settled: false,
        known: KnownState {
            revision: 8,
            version: 1,
        },
        age_ms: 0,
        since: None,
        is_store_lost: false,
        covers_evacuations: false,
    };
    let complete_list = Frame {
        relay_status: Some(former_status),
        targets: vec![in_domain("e-1", 3, "east")],
        ..Frame::default()
    };

    serving.on_frame(START, 2, complete_list, |_text| None);

    assert_eq!(serving.evacuated_domains().len(), 1);
    assert_eq!(serving.complete_revision(), None);
}
