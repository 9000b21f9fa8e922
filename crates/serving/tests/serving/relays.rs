//! Relays, which read the store for other instances.

use {
    super::{
        fixture::{START, change, instance, member, removal, rule, service},
        fleet_fixture::Fleet,
    },
    std::{collections::BTreeSet, net::SocketAddr},
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        Serving, StoreRole,
        catalog::{Configuration, Limits, Service},
        fleet::{Frame, HeartbeatFrame, Member},
        relays::{FollowRequest, FollowedRelays, KnownState, RelayStatus},
        targets::{PublishedChanges, TargetChange, TargetRegistry, TargetState},
    },
};

/// Steps after which all instances of a fleet know each other.
const STEPS_TO_SETTLE: usize = 24;
/// Steps in two seconds, within which a leaving target must no longer get requests.
const STEPS_IN_TIME: usize = 8;
const RELAY: SocketAddr = SocketAddr::new(
    std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 9)),
    7_001,
);

fn settled_fleet(count: u64, domains: u64) -> Fleet {
    let mut fleet = Fleet::in_domains(count, domains);
    fleet.steps(STEPS_TO_SETTLE);
    fleet.store.take_readers();
    fleet
}

/// Returns the number of instances that still send requests to a target.
fn count_using(fleet: &Fleet, target: &str) -> usize {
    let servings = fleet.alive.values();
    servings
        .filter(|serving| serving.ready_targets().iter().any(|ready| ready == target))
        .count()
}

fn status(revision: u64, since: Option<u64>) -> RelayStatus {
    RelayStatus {
        covers_evacuations: true,
        is_settled: false,
        known: KnownState {
            revision,
            version: 1,
        },
        age_ms: 0,
        since,
        is_store_lost: false,
    }
}

/// Applies a status at an instance that knows all changes up to a revision, and configuration version 1.
fn following_after(complete_revision: u64, status: &RelayStatus) -> FollowedRelays {
    let mut following = FollowedRelays::default();
    following.mark_complete_at(complete_revision);
    following.apply_status(START, RELAY, status, 1);
    following
}

/// Guards against hundreds of instances that each poll the store and use up its calls. Only two of each
/// failure domain may read it.
#[test]
fn two_instances_of_each_failure_domain_read_the_store_for_all() {
    let mut fleet = settled_fleet(60, 3);

    fleet.store.changes.push(removal("e-00", 9));
    fleet.steps(STEPS_IN_TIME);

    assert_eq!(fleet.store.take_readers().len(), 6);
    assert_eq!(count_using(&fleet, "e-00"), 0);
}

/// Guards against a failure domain that goes on sending requests to a target that has left, because both
/// its relays die as the change is published.
#[test]
fn a_leaving_target_gets_no_requests_in_time_though_all_relays_die() {
    let mut fleet = settled_fleet(60, 3);
    fleet.step();
    let relays = fleet.store.take_readers();

    fleet
        .store
        .changes
        .push(change("e-00", 9, TargetState::Draining));
    for relay in &relays {
        fleet.kill(*relay);
    }
    fleet.steps(STEPS_IN_TIME);

    assert_eq!(relays.len(), 6);
    assert_eq!(count_using(&fleet, "e-00"), 0);
}

/// The same where the relays run and send frames, but the store refuses them: without a report of the relays,
/// nothing shows that changes no longer arrive.
#[test]
fn relays_that_the_store_refuses_are_not_followed() {
    let mut fleet = settled_fleet(60, 3);
    fleet.step();
    fleet.store.refused = fleet.store.take_readers();

    fleet
        .store
        .changes
        .push(change("e-00", 9, TargetState::Draining));
    fleet.steps(STEPS_IN_TIME);

    assert_eq!(count_using(&fleet, "e-00"), 0);
    fleet.store.take_readers();
    fleet.steps(1);
    let readers = fleet.store.take_readers();
    assert!(readers.len() <= 12, "{readers:?}");
}

/// Guards against relays that never read the store again after it refused them for five seconds: they have
/// followed others since, and nothing shows them that the store serves them again.
#[test]
fn relays_that_the_store_refused_for_a_while_read_it_again() {
    let mut fleet = settled_fleet(60, 3);
    fleet.step();
    let relays = fleet.store.take_readers();
    fleet.store.refused = relays.clone();
    fleet.steps(20);

    fleet.store.refused.clear();
    fleet.steps(STEPS_TO_SETTLE + 20);
    fleet.store.take_readers();
    fleet.steps(4);

    assert_eq!(fleet.store.take_readers(), relays);
}

/// Guards against followers that drop all targets whose entries expired during a store outage, so that a
/// whole failure domain rejects its callers.
#[test]
fn entries_that_expired_in_a_store_outage_stay_in_use_for_a_while() {
    let mut fleet = settled_fleet(60, 3);
    fleet.store.is_down = true;
    fleet.steps(16);

    fleet.store.is_down = false;
    fleet.store.changes.push(removal("e-00", 9));
    fleet.steps(4);
    let at_first = count_using(&fleet, "e-00");
    fleet.steps(16);

    assert_eq!(at_first, 60);
    assert_eq!(count_using(&fleet, "e-00"), 0);
}

/// Guards against an instance that takes a single change for all there is, and starts with one target of
/// four.
#[test]
fn an_instance_without_entries_ignores_a_change() {
    let mut serving = Serving::new(member(1, 7_000), rule());
    let frame = Frame {
        member: Some(member(2, 7_100)),
        relay_status: Some(status(9, Some(8))),
        targets: vec![change("e-00", 9, TargetState::Ready)],
        ..Frame::default()
    };

    serving.on_frame(START, 2, frame, |_text| None);

    assert_eq!(serving.complete_revision(), None);
    assert!(serving.ready_targets().is_empty());
}

/// Guards against an instance that was cut off and keeps a target for good, because the relay no longer
/// remembers its removal.
#[test]
fn an_instance_that_was_cut_off_for_long_gets_all_targets() {
    let mut relay = instance(1, 4);
    relay.mark_complete_at(START, 1);
    relay.apply_store_change(START, &removal("e-00", 9));
    relay.mark_complete_at(START, 9);
    let later = START + 120_000;
    relay.tick(later);
    let mut other = instance(2, 4);
    other.mark_complete_at(START, 1);
    let follow = FollowRequest {
        known: KnownState {
            revision: 1,
            version: 1,
        },
        requests_changes: true,
    };
    let request = Frame {
        member: Some(other.own_member(later)),
        heartbeat: Some(HeartbeatFrame {
            version: 1,
            revision: 1,
            requests_link: true,
            engine_groups: 0,
            settled_revision: None,
            follow_request: Some(follow),
        }),
        ..Frame::default()
    };

    relay.on_frame(later, 2, request, |_text| None);
    let updates = relay.relay_news(later, |_to| true);

    let [(to, frame)] = &updates[..] else {
        panic!("{updates:?}");
    };
    assert_eq!(*to, [other.peer_address()]);
    assert_eq!(frame.relay_status.unwrap().since, None);
    let greeting = relay.greeting(later, other.peer_address(), false);
    other.on_frame(later, 1, greeting, |_text| None);
    other.on_frame(later, 1, frame.clone(), |_text| None);
    assert_eq!(other.ready_targets(), ["e-01", "e-02", "e-03"]);
}

/// The same where the store refuses the instance and it requests the changes of a peer.
#[test]
fn an_instance_that_was_cut_off_for_long_gets_all_targets_from_a_peer() {
    let mut first = instance(1, 4);
    first.apply_store_change(START, &removal("e-00", 9));
    first.mark_complete_at(START, 9);
    let later = START + 120_000;
    first.tick(later);
    let mut other = instance(2, 4);
    other.mark_complete_at(START, 1);
    other.record_store_failure(later);
    other.on_frame(later, 1, first.heartbeat(later, false).frame, |_text| None);

    let (_peers, frame) = other.catch_up_request(later).unwrap();
    let reply = first.catch_up_response(later, &frame.catch_up_request.unwrap());
    other.on_frame(later, 1, reply, |_text| None);

    assert_eq!(other.ready_targets(), ["e-01", "e-02", "e-03"]);
    assert_eq!(other.complete_revision(), Some(9));
}

/// Guards against an instance that seems to know everything although one change was lost with its link.
#[test]
fn a_status_that_follows_a_lost_one_is_ignored() {
    let following = following_after(5, &status(9, Some(8)));

    assert_eq!(following.complete_revision(), Some(5));
    assert_eq!(following.freshest(START), None);
}

/// Two relays disagree: one of them has an older history, or its store went back to an earlier state.
#[test]
fn an_older_status_confirms_nothing() {
    let following = following_after(9, &status(7, Some(7)));

    assert_eq!(following.complete_revision(), Some(9));
    assert_eq!(following.freshest(START), None);
}

/// Guards against revoked keys that stay valid: the relay has a configuration that didn't arrive here.
#[test]
fn a_status_with_a_newer_configuration_confirms_nothing() {
    let mut newer_status = status(9, Some(9));
    newer_status.known.version = 2;

    let following = following_after(9, &newer_status);

    assert_eq!(following.freshest(START), None);
}

#[test]
fn the_age_of_a_status_counts_from_the_answer_of_the_store() {
    let old_status = RelayStatus {
        age_ms: 1_000,
        ..status(9, Some(9))
    };

    let following = following_after(9, &old_status);

    assert!(following.freshest(START + 499).is_some());
    assert!(following.freshest(START + 500).is_none());
}

/// Guards against an instance that reads everything again though it lacks nothing: while changes follow
/// each other, some peer always knows one more.
#[test]
fn an_instance_that_keeps_up_does_not_lag() {
    let (mut first, mut second) = (instance(1, 4), instance(2, 4));

    for step in 1..10 {
        let now = MonoMs(START.0 + 250 * step);
        first.apply_store_change(now, &removal("e-00", 10 + step));
        second.on_frame(now, 1, first.heartbeat(now, false).frame, |_text| None);
        second.tick(now);
        second.apply_store_change(now, &removal("e-00", 9 + step));
    }

    assert!(!second.is_lagging(MonoMs(START.0 + 2_500)));
}

/// Guards against a store that refuses a fleet of hundreds at its first start, when each instance reads
/// each page, and against a needless wait of a second after a later restart, while callers wait.
#[test]
fn weak_instances_wait_for_relays_at_the_first_start_only() {
    let patience = |run, cpu_millis, is_first_start| {
        let own = Member {
            cpu_millis,
            ..member(run, 7_000)
        };
        Serving::new(own, rule()).start_patience_ms(is_first_start)
    };

    let weak: BTreeSet<u64> = (0..50).map(|run| patience(run, 120, true)).collect();

    assert_eq!(patience(1, 500, true), 0);
    assert_eq!(patience(1, 120, false), 0);
    assert!(weak.iter().all(|patience_ms| *patience_ms >= 1_000));
    assert!(weak.len() > 25);
}

#[test]
fn a_registry_that_evicted_a_removal_reports_the_gap() {
    let mut targets = TargetRegistry::default();
    let listed = PublishedChanges {
        targets: vec![change("e-00", 4, TargetState::Ready)],
        ..PublishedChanges::default()
    };
    targets.apply_store_snapshot(START, 5, listed);
    targets.apply_store_change(START, &removal("e-00", 7));

    let remembered = (targets.has_removals_since(4), targets.has_removals_since(5));
    targets.confirm_removals(START + 120_000);

    assert_eq!(remembered, (false, true));
    assert!(!targets.has_removals_since(6));
    assert!(targets.has_removals_since(7));
}

/// In a small fleet each instance links to all others, and none has a relay.
#[test]
fn in_a_small_fleet_all_read_the_store() {
    let mut fleet = settled_fleet(6, 2);

    fleet.step();

    assert_eq!(fleet.store.take_readers().len(), 6);
    let roles = fleet
        .alive
        .values()
        .map(|serving| serving.store_role(fleet.now));
    assert!(roles.into_iter().all(|role| role == StoreRole::Watch));
}

/// Guards against hundreds of weak instances that read the whole store at the system's first start, since their relays
/// need more than a second to tell them all.
#[test]
fn a_weak_instance_waits_longer_at_the_first_start_while_it_knows_relays() {
    let mut fleet = settled_fleet(40, 2);
    let now = fleet.now;
    let address = *fleet
        .alive
        .keys()
        .find(|address| {
            let role = fleet.alive[*address].store_role(now);
            matches!(role, StoreRole::Follow(_))
        })
        .unwrap();
    let informed = &fleet.alive[&address];
    let alone = Serving::new(member(90, 9_000), rule());

    assert!(!informed.should_wait_for_peers(now, 1_200, 1_000));
    assert!(alone.should_wait_for_peers(now, 999, 1_000));
    assert!(!alone.should_wait_for_peers(now, 1_000, 1_000));
    fleet.store.is_down = true;
    let newcomer = informed_of_members(&fleet, address);
    assert!(newcomer.should_wait_for_peers(now, 1_200, 1_000));
    assert!(!newcomer.should_wait_for_peers(now, 5_000, 1_000));
    assert!(!newcomer.should_wait_for_peers(now, 0, 0));
}

/// Returns a weak instance that knows all members of a fleet and nothing of the store.
fn informed_of_members(fleet: &Fleet, like: SocketAddr) -> Serving {
    let now = fleet.now;
    let own = Member {
        cpu_millis: 10,
        failure_domain: fleet.alive[&like].own_member(now).failure_domain,
        ..member(91, 9_100)
    };
    let mut serving = Serving::new(own, rule());
    for (address, other) in &fleet.alive {
        let frame = Frame {
            member: Some(other.own_member(now)),
            ..Frame::default()
        };
        let run = other.own_member(now).run;
        assert_ne!(address, &serving.peer_address());
        serving.on_frame(now, run, frame, |_text| None);
    }
    serving.tick(now);
    serving
}

/// Guards against a watch of each relay for each change: the second one of a failure domain only has to be fresh
/// enough to take over.
#[test]
fn one_relay_of_each_failure_domain_is_on_standby() {
    let fleet = settled_fleet(40, 2);
    let now = fleet.now;

    let relays = fleet.alive.values().filter(|serving| {
        let role = serving.store_role(now);
        role == StoreRole::Watch
    });
    let standby: Vec<bool> = relays.map(|relay| relay.is_standby_relay(now)).collect();

    assert_eq!(standby.len(), 4);
    assert_eq!(standby.iter().filter(|is_standby| **is_standby).count(), 2);
}

/// Guards against an instance that begins to serve without any target of a service to which requests go.
#[test]
fn a_first_read_is_interrupted_only_with_targets_of_each_service() {
    let weak = Member {
        cpu_millis: 120,
        ..member(1, 7_000)
    };
    let strong = Member {
        cpu_millis: 1_000,
        ..weak.clone()
    };
    let started = |own| {
        let mut serving = Serving::new(own, rule());
        let plain = Service {
            name: "plain".into(),
            engine: None,
            ..service()
        };
        let services = vec![service(), plain];
        let limits = Limits::default();
        let configuration = Configuration::new(1, limits, Vec::new(), services, Vec::new());
        serving.activate_configuration(configuration, "{}".to_owned());
        serving
    };
    let mut engines: Vec<TargetChange> = (0..120)
        .map(|number| change(&format!("e-{number}"), 3, TargetState::Ready))
        .collect();

    let without_plain = started(weak.clone()).may_interrupt_first_read(&engines);
    let mut plain = change("p-1", 3, TargetState::Ready);
    plain.entry.as_mut().unwrap().service = "plain".into();
    engines.push(plain);

    assert!(!without_plain);
    assert!(started(weak.clone()).may_interrupt_first_read(&engines));
    assert!(!started(weak).may_interrupt_first_read(&engines[60..]));
    assert!(!started(strong).may_interrupt_first_read(&engines));
}

/// Guards against a store whose network is congested by the answers to hundreds of instances that start at the same time:
/// all gave up their answers after the same time and asked again.
#[test]
fn a_first_read_slows_down_at_a_congested_store() {
    let mut serving = Serving::new(member(1, 7_000), rule());

    let usual = serving.congestion_pause_ms(20);
    let congested: BTreeSet<u64> = (0..50).map(|_| serving.congestion_pause_ms(500)).collect();

    assert_eq!(usual, 0);
    assert!(congested.len() > 40 && congested.iter().all(|pause_ms| *pause_ms < 1_000));
    assert_eq!(Serving::call_timeout_ms(400, 20), 400);
    assert_eq!(Serving::call_timeout_ms(400, 500), 1_500);
}
