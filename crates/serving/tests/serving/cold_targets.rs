//! Targets that are cold after a start, and crash if the fleet sends them too much.

use {
    super::{
        fixture::{START, engine_entry, removal, service},
        fleet_fixture::Fleet,
    },
    std::net::SocketAddr,
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        Serving,
        catalog::{ColdStart, Configuration, Limits, Service},
        names::TargetId,
        quotas::{ColdLimitRule, Permission},
        targets::{EvacuationChange, TargetChange, TargetEntry, TargetState},
    },
};

/// Fleet sizes that operators run.
const SIZES: [u64; 4] = [9, 62, 85, 295];
const COLD_START: ColdStart = ColdStart {
    duration_ms: 3_000,
    requests_per_s: 14.0,
};
const RULE: ColdLimitRule = ColdLimitRule {
    factor: 1.5,
    slack: 5.0,
};
/// Requests that the operators accept within one second, by [`RULE`].
const MAX_IN_ONE_S: usize = 26;
const ONE_S_MS: u64 = 1_000;
/// Time between two attempts of all instances to send, in ms.
const TRY_INTERVAL_MS: u64 = 125;
/// Attempts between two steps of the fleet.
const TRIES_PER_STEP: u64 = 2;
/// Steps until all instances of a fleet know each other.
const STEPS_TO_SETTLE: usize = 10;

fn target() -> TargetId {
    "e-00".into()
}

fn cold_entry(revision: u64, cold_remaining_ms: u64) -> TargetChange {
    TargetChange {
        entry: Some(TargetEntry {
            cold_remaining_ms,
            ..engine_entry("e-00", TargetState::Ready)
        }),
        ..removal("e-00", revision)
    }
}

/// Returns a fleet whose service publishes how its targets start.
fn fleet_of(size: u64) -> Fleet {
    let mut fleet = Fleet::start(size);
    let cold_starting = Service {
        cold_start: Some(COLD_START),
        ..service()
    };
    for serving in fleet.alive.values_mut() {
        let services = vec![cold_starting.clone()];
        let configuration =
            Configuration::new(2, Limits::default(), Vec::new(), services, Vec::new());
        serving.activate_configuration(configuration, "{}".to_owned());
        serving.set_cold_rule(RULE);
    }
    fleet.steps(STEPS_TO_SETTLE);
    fleet
}

fn serving(fleet: &mut Fleet, address: SocketAddr) -> &mut Serving {
    fleet.alive.get_mut(&address).unwrap()
}

/// Returns whether the instance may send to the target now, as decided by itself or by the holder. A holder
/// beyond a partition doesn't answer.
fn may_send(fleet: &mut Fleet, from: SocketAddr) -> bool {
    let now = fleet.now;
    match serving(fleet, from).request_permission(now, &target()) {
        Permission::Granted => true,
        Permission::Refused => false,
        Permission::AskHolder { holder, request } => {
            let is_reached = fleet.partitions.get(&from) == fleet.partitions.get(&holder);
            let holder = fleet.alive.get_mut(&holder).filter(|_| is_reached);
            let answer = holder.and_then(|holder| holder.answer_permit_request(now, &request));
            serving(fleet, from).apply_permit_response(now, &target(), answer)
        }
    }
}

/// Has all instances try to send while the target says that it is cold. Returns when requests were sent.
fn send_while_cold(fleet: &mut Fleet, for_ms: u64) -> Vec<MonoMs> {
    let mut sent = Vec::new();
    for number in 0..for_ms / TRY_INTERVAL_MS {
        if number % TRIES_PER_STEP == 0 {
            fleet.step();
        }
        let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
        for from in addresses {
            if may_send(fleet, from) {
                sent.push(fleet.now);
            }
        }
    }
    sent
}

fn most_within_one_s(sent: &[MonoMs]) -> usize {
    let in_window = |end: &MonoMs| {
        let within = sent
            .iter()
            .filter(|at| **at <= *end && end.since(**at) < ONE_S_MS);
        within.count()
    };
    sent.iter().map(in_window).max().unwrap_or(0)
}

/// Publishes that the target stays cold for a minute, and lets every instance learn of it.
fn turn_cold(fleet: &mut Fleet) {
    fleet.store.changes.push(cold_entry(5, 60_000));
    fleet.steps(STEPS_TO_SETTLE);
}

/// Guards against a cold target that crashes, since each instance stays below the rate that it tolerates and all
/// of them together exceed it.
#[test]
fn a_cold_target_gets_what_it_tolerates_from_all_instances_together() {
    for size in SIZES {
        let mut fleet = fleet_of(size);
        turn_cold(&mut fleet);

        let sent = send_while_cold(&mut fleet, 3_000);

        let most = most_within_one_s(&sent);
        assert!(most <= MAX_IN_ONE_S, "{size} instances: {most}");
        assert!(sent.len() >= 9, "{size} instances: {}", sent.len());
    }
}

/// Guards against two holders that each grant the whole rate while a cut divides the fleet.
#[test]
fn a_cold_target_gets_no_more_while_the_fleet_is_cut_in_two() {
    for size in SIZES {
        let mut fleet = fleet_of(size);
        turn_cold(&mut fleet);
        let half: Vec<SocketAddr> = fleet
            .alive
            .keys()
            .skip(size as usize / 2)
            .copied()
            .collect();
        fleet
            .partitions
            .extend(half.into_iter().map(|address| (address, 1)));

        let sent = send_while_cold(&mut fleet, 4_000);

        let most = most_within_one_s(&sent);
        assert!(most <= MAX_IN_ONE_S, "{size} instances: {most}");
    }
}

/// Guards against a burst when the holder dies: its successor doesn't know what it has granted.
#[test]
fn a_cold_target_gets_no_more_when_its_holder_dies() {
    for size in SIZES {
        let mut fleet = fleet_of(size);
        turn_cold(&mut fleet);
        let mut sent = send_while_cold(&mut fleet, 1_000);

        for hub in fleet.hubs() {
            fleet.kill(hub);
        }
        sent.extend(send_while_cold(&mut fleet, 3_000));

        let most = most_within_one_s(&sent);
        assert!(most <= MAX_IN_ONE_S, "{size} instances: {most}");
    }
}

/// Guards against a fleet of one that can't use a cold target at all.
#[test]
fn a_single_instance_uses_a_cold_target() {
    let mut fleet = fleet_of(1);
    turn_cold(&mut fleet);

    let sent = send_while_cold(&mut fleet, 3_000);

    assert!(sent.len() >= 9, "{}", sent.len());
    assert!(most_within_one_s(&sent) <= MAX_IN_ONE_S);
}

#[test]
fn a_target_is_limited_until_it_is_warm() {
    let mut fleet = fleet_of(1);
    let address = *fleet.alive.keys().next().unwrap();
    let now = fleet.now;
    let serving = serving(&mut fleet, address);

    serving.apply_store_change(now, &cold_entry(5, 2_000));

    assert_eq!(serving.limit_per_s(now + 1_999, "e-00"), Some(11.0));
    assert_eq!(serving.limit_per_s(now + 2_000, "e-00"), None);
}

/// Guards against a burst to the targets of a failure domain when its evacuation ends: they are idle and cold, and
/// their entries say so only when they are written next.
#[test]
fn targets_count_as_cold_when_the_evacuation_of_their_domain_ends() {
    let mut fleet = fleet_of(1);
    let address = *fleet.alive.keys().next().unwrap();
    let now = fleet.now;
    let serving = serving(&mut fleet, address);
    let evacuation = |revision, is_evacuated| EvacuationChange {
        failure_domain: "east".into(),
        revision,
        is_evacuated,
    };

    serving.apply_evacuation(now, &evacuation(5, true));
    serving.apply_evacuation(now + 8_000, &evacuation(6, false));

    assert_eq!(serving.cold_target_count(now + 8_000), 4);
    assert_eq!(serving.cold_target_count(now + 13_000), 0);
}

/// Guards against a rate that no target could be used at, where the operators allow no slack.
#[test]
fn a_rule_without_slack_leaves_a_cold_target_some_requests() {
    let rule = ColdLimitRule::default();
    let slow = ColdStart {
        requests_per_s: 2.0,
        ..COLD_START
    };

    let rates_per_s = [rule.rate_per_s(&slow), RULE.rate_per_s(&COLD_START)];

    for (rate_per_s, expected) in rates_per_s.into_iter().zip([0.5, 11.0]) {
        assert!((rate_per_s - expected).abs() < f64::EPSILON, "{rate_per_s}");
    }
}

#[test]
fn a_target_of_a_service_without_cold_starts_is_never_limited() {
    let mut fleet = Fleet::start(1);
    let address = *fleet.alive.keys().next().unwrap();
    let serving = serving(&mut fleet, address);

    serving.apply_store_change(START, &cold_entry(5, 60_000));

    assert_eq!(serving.limit_per_s(START, "e-00"), None);
}
