//! Removals of entries whose targets serve on for a short time: how soon instances believe them.

use {
    super::{
        fixture::{START, change, instance, member, removal},
        fleet_fixture::Fleet,
    },
    std::{collections::BTreeSet, net::SocketAddr},
    whinlatch_serving::{
        Serving, StoreRole,
        fleet::{Frame, HeartbeatFrame},
        relays::{FollowRequest, KnownState, RelayStatus},
        targets::{ChangeOutcome, TargetRegistry, TargetState},
    },
};

/// Steps after which all instances of a fleet know each other.
const STEPS_TO_SETTLE: usize = 24;
/// Steps in two seconds, within which a removed target must no longer get requests.
const STEPS_IN_TIME: usize = 8;
/// Shortest outage in which an entry can expire, in ms, by the heartbeats of the targets of tests.
const MIN_EXPIRY_MS: u64 = 1_800;
/// Steps after an outage of the store for which entries that expired in it may still be missing.
const STEPS_OF_GRACE: usize = 12;

fn settled_fleet(count: u64, domains: u64) -> Fleet {
    let mut fleet = Fleet::in_domains(count, domains);
    fleet.steps(STEPS_TO_SETTLE);
    fleet
}

/// The status of a relay that the store refuses.
fn refused_status() -> Frame {
    let status = RelayStatus {
        known: KnownState::default(),
        age_ms: 0,
        since: Some(0),
        is_store_lost: true,
        is_settled: false,
        covers_evacuations: true,
    };
    Frame {
        relay_status: Some(status),
        ..Frame::default()
    }
}

/// Has the store refuse the instances that read it for others. Others take their place a moment later.
fn refuse_all_relays(fleet: &mut Fleet) {
    let now = fleet.now;
    let is_watching = |serving: &Serving| serving.store_role(now) == StoreRole::Watch;
    let relays: Vec<SocketAddr> = fleet
        .alive
        .values()
        .filter(|serving| is_watching(serving))
        .map(Serving::peer_address)
        .collect();
    fleet.store.refused.extend(relays);
}

/// Returns the instances that the store answers and that still send requests to a target.
fn served_instances_using(fleet: &Fleet, target: &str) -> BTreeSet<SocketAddr> {
    let served = fleet.alive.values().filter(|serving| {
        !fleet.store.refused.contains(&serving.peer_address())
            && serving.ready_targets().iter().any(|ready| ready == target)
    });
    served.map(Serving::peer_address).collect()
}

/// The heartbeat with which an instance that knows all up to a revision follows a relay.
fn follow_request(follower: &Serving, revision: u64) -> Frame {
    let known = KnownState {
        revision,
        version: 1,
    };
    let follow_request = Some(FollowRequest {
        known,
        requests_changes: true,
    });
    Frame {
        member: Some(follower.own_member(START)),
        heartbeat: Some(HeartbeatFrame {
            version: 1,
            revision,
            requests_link: true,
            engine_groups: 0,
            settled_revision: None,
            follow_request,
        }),
        ..Frame::default()
    }
}

/// Guards against a whole failure domain that sends requests to a removed target for as long as the store refuses its
/// relays, though the store answers the other instances there.
#[test]
fn a_removal_takes_effect_in_time_though_the_store_refuses_all_relays() {
    let mut fleet = settled_fleet(60, 3);
    for _ in 0..4 {
        refuse_all_relays(&mut fleet);
        fleet.steps(4);
    }

    fleet.store.changes.push(removal("e-00", 9));
    fleet.steps(STEPS_IN_TIME);

    assert_eq!(served_instances_using(&fleet, "e-00"), BTreeSet::new());
}

/// Guards against an instance that lost the store and asks peers to which it has no link for what it lacks: they are the
/// nearest, but never get the request.
#[test]
fn an_instance_that_lost_the_store_asks_peers_to_which_it_has_a_link() {
    let mut fleet = settled_fleet(60, 3);
    let asking = *fleet.alive.keys().last().unwrap();
    let linked = fleet.links_of(asking);
    let now = fleet.now;
    let mut peers: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
    peers.retain(|peer| *peer != asking);
    for peer in peers {
        let serving = fleet.alive.get_mut(&peer).unwrap();
        serving.apply_store_change(now, &removal("e-00", 9));
        let heartbeat = serving.heartbeat(now, false).frame;
        fleet.deliver(peer, asking, heartbeat);
    }

    let serving = fleet.alive.get_mut(&asking).unwrap();
    serving.record_store_failure(now);
    let (asked, _request) = serving.catch_up_request(now).unwrap();

    assert!(!asked.is_empty());
    assert!(asked.iter().all(|peer| linked.contains(peer)), "{asked:?}");
}

/// Guards against followers that take the store for lost long after it is back, and hold back removals since then.
#[test]
fn a_removal_takes_effect_in_time_once_an_outage_is_over() {
    for outage_steps in [14, 20, 26, 32, 38] {
        let mut fleet = settled_fleet(60, 3);
        fleet.store.is_down = true;
        fleet.steps(outage_steps);
        fleet.store.is_down = false;
        fleet.steps(STEPS_OF_GRACE);

        fleet.store.changes.push(removal("e-00", 9));
        fleet.steps(STEPS_IN_TIME);

        let using = served_instances_using(&fleet, "e-00");
        assert_eq!(using, BTreeSet::new(), "after {outage_steps} steps");
    }
}

/// Guards against an instance that lost the store by itself and holds back a removal that its peers have believed.
#[test]
fn an_instance_that_the_store_refused_believes_the_removals_that_its_peers_believe() {
    let mut fleet = settled_fleet(9, 3);
    let refused = *fleet.alive.keys().next().unwrap();
    fleet.store.refused.insert(refused);
    fleet.steps(20);
    fleet.store.refused.clear();
    fleet.step();

    fleet.store.changes.push(removal("e-00", 9));
    fleet
        .store
        .changes
        .push(change("e-04", 10, TargetState::Ready));
    fleet.steps(STEPS_IN_TIME / 2);

    assert_eq!(served_instances_using(&fleet, "e-00"), BTreeSet::new());
}

/// Guards against a follower that dropped a target whose entry expired in an outage, on the word of a relay that has just
/// started or was in the same outage, and against one that holds back what a settled relay believes.
#[test]
fn only_a_settled_relay_confirms_the_removals_of_its_followers() {
    for is_settled in [false, true] {
        let mut follower = instance(2, 4);
        follower.mark_complete_at(START, 8);
        follower.record_store_failure(START);
        let regained = START + 5_000;
        follower.record_store_answer(regained);
        follower.apply_store_change(regained, &removal("e-00", 9));
        follower.mark_complete_at(regained, 9);

        let status = RelayStatus {
            known: KnownState {
                revision: 9,
                version: 1,
            },
            age_ms: 0,
            since: Some(9),
            is_store_lost: false,
            is_settled,
            covers_evacuations: true,
        };
        let frame = Frame {
            member: Some(member(1, 7_100)),
            relay_status: Some(status),
            ..Frame::default()
        };
        follower.on_frame(regained, 1, frame, |_text| None);

        let is_removed = !follower.ready_targets().contains(&"e-00".to_owned());
        assert_eq!(is_removed, is_settled);
    }
}

/// Guards against an instance that waits for relays which the store refuses until it can't tell any more whether a removed
/// entry has expired.
#[test]
fn an_instance_with_refused_relays_reads_the_store_before_entries_can_expire() {
    let mut fleet = settled_fleet(60, 3);
    let now = fleet.now;
    let has_role =
        |serving: &&Serving, is_role: fn(StoreRole) -> bool| is_role(serving.store_role(now));
    let is_relay = |role| role == StoreRole::Watch;
    let is_follower = |role| matches!(role, StoreRole::Follow(_));
    let instances: Vec<&Serving> = fleet.alive.values().collect();
    let relays: Vec<SocketAddr> = instances
        .iter()
        .filter(|serving| has_role(serving, is_relay))
        .map(|relay| relay.peer_address())
        .collect();
    let follower = instances
        .iter()
        .rfind(|serving| has_role(serving, is_follower));
    let follower = follower.unwrap().peer_address();

    for relay in relays {
        fleet.deliver(relay, follower, refused_status());
    }

    let serving = &fleet.alive[&follower];
    let lost = StoreRole::StandIn {
        is_store_lost: true,
    };
    let spread_ms = serving.stand_in_spread_ms(now);
    assert_eq!(serving.store_role(now), lost);
    assert!(spread_ms < MIN_EXPIRY_MS, "{spread_ms}");
}

/// Guards against a removal that is held back after a failure too short for any entry to expire: a watch that the
/// store cut, or one call without an answer.
#[test]
fn a_removal_takes_effect_immediately_after_a_short_failure() {
    let mut registry = TargetRegistry::default();
    registry.record_store_answer(START);
    registry.apply_store_change(START, &change("e-1", 5, TargetState::Ready));
    registry.record_store_failure();
    registry.record_store_answer(START + 1_500);

    let outcome = registry.apply_store_change(START + 1_500, &removal("e-1", 6));

    assert_eq!(outcome, ChangeOutcome::Applied);
}

/// Guards against a relay that believes a removal after the grace time and tells its followers only with the next
/// answer of the store.
#[test]
fn a_relay_passes_on_a_removal_as_soon_as_it_is_confirmed() {
    let mut relay = instance(1, 4);
    let follower = instance(2, 4);
    relay.mark_complete_at(START, 1);
    relay.record_store_failure(START);
    let regained = START + 5_000;
    relay.record_store_answer(regained);
    relay.apply_store_change(regained, &removal("e-00", 9));
    relay.mark_complete_at(regained, 9);
    relay.on_frame(regained, 2, follow_request(&follower, 8), |_text| None);
    relay.relay_news(regained, |_to| true);

    let confirmed = relay.tick(regained + 2_500);
    let updates = relay.relay_news(regained + 2_500, |_to| true);

    assert_eq!(confirmed.len(), 1);
    let mut told = updates.iter().flat_map(|(_to, frame)| &frame.targets);
    assert!(told.any(|change| *change == removal("e-00", 9)));
}
