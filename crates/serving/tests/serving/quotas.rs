//! Rate limits of targets, and the instances that share them.

use {
    super::{
        fixture::{START, change},
        fleet_fixture::Fleet,
    },
    std::{collections::VecDeque, net::SocketAddr},
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        Serving,
        names::TargetId,
        quotas::{Permission, PermitRequest, TokenBucket},
        targets::{TargetNotice, TargetState},
    },
};

/// Fleet sizes that operators run.
const SIZES: [u64; 3] = [9, 85, 295];
/// Rate limit of the target, in requests a second.
const LIMIT_PER_S: f64 = 1.6;
/// Window in which operators count requests, in ms.
const WINDOW_MS: u64 = 4_000;
/// Requests that operators accept within the window at this limit.
const MAX_IN_WINDOW: usize = 14;
/// Time between two attempts of all instances to send, in ms.
const TRY_INTERVAL_MS: u64 = 250;
/// Attempts between two steps of the fleet. Few enough that instances consider each other alive throughout.
const TRIES_PER_STEP: u64 = 4;
/// Steps until all instances of a fleet know each other.
const STEPS_TO_SETTLE: usize = 10;

fn target() -> TargetId {
    "e-00".into()
}

fn limited() -> TargetNotice {
    TargetNotice {
        limit_per_s: Some(LIMIT_PER_S),
        ..TargetNotice::default()
    }
}

/// Returns a fleet in which each instance has learned the limit from the target itself.
fn limited_fleet(size: u64) -> Fleet {
    let mut fleet = Fleet::start(size);
    fleet.steps(STEPS_TO_SETTLE);
    let now = fleet.now;
    for serving in fleet.alive.values_mut() {
        serving.apply_target_notice(now, now, &target(), &limited());
    }
    fleet
}

/// Returns whether the instance may send to the target now, as decided by itself or by the holder of the
/// quota.
fn may_send(fleet: &mut Fleet, from: SocketAddr) -> bool {
    let now = fleet.now;
    let permission = serving(fleet, from).request_permission(now, &target());
    match permission {
        Permission::Granted => true,
        Permission::Refused => false,
        Permission::AskHolder { holder, request } => {
            let holder = fleet.alive.get_mut(&holder);
            let answer = holder.and_then(|holder| holder.answer_permit_request(now, &request));
            serving(fleet, from).apply_permit_response(now, &target(), answer)
        }
    }
}

fn serving(fleet: &mut Fleet, address: SocketAddr) -> &mut Serving {
    fleet.alive.get_mut(&address).unwrap()
}

/// Lets all instances try to send for a while. Returns the times at which requests were sent.
fn try_to_send(fleet: &mut Fleet, for_ms: u64) -> Vec<MonoMs> {
    let mut sent = Vec::new();
    for number in 0..for_ms / TRY_INTERVAL_MS {
        if number % TRIES_PER_STEP == 0 {
            fleet.step();
        } else {
            fleet.now = fleet.now + TRY_INTERVAL_MS;
        }
        let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
        for address in addresses {
            if may_send(fleet, address) {
                sent.push(fleet.now);
            }
        }
    }
    sent
}

fn max_in_window(sent: &[MonoMs]) -> usize {
    let mut window: VecDeque<MonoMs> = VecDeque::new();
    let mut max = 0;
    for at in sent {
        window.push_back(*at);
        while at.since(window[0]) >= WINDOW_MS {
            window.pop_front();
        }
        max = max.max(window.len());
    }
    max
}

/// Guards against a limit that is exceeded in proportion to the number of instances, or not used up.
#[test]
fn a_limit_is_kept_and_used_by_fleets_of_any_size() {
    for size in SIZES {
        let mut fleet = limited_fleet(size);

        let sent = try_to_send(&mut fleet, 3 * WINDOW_MS);

        assert!(max_in_window(&sent) <= MAX_IN_WINDOW, "{size}");
        let used = sent.len() as f64 / (LIMIT_PER_S * 12.0);
        assert!(used > 0.8, "{size}: {used}");
    }
}

/// Returns the permit requests of all instances but the holder, at a time when all refusals have expired.
fn permit_requests(fleet: &mut Fleet) -> Vec<(SocketAddr, PermitRequest)> {
    let now = fleet.now + WINDOW_MS;
    let instances = fleet.alive.values_mut();
    instances
        .filter_map(|serving| match serving.request_permission(now, &target()) {
            Permission::AskHolder { holder, request } => Some((holder, request)),
            Permission::Granted | Permission::Refused => None,
        })
        .collect()
}

/// Guards against a limit that is granted twice, or not at all, after the holder of the quota has died.
#[test]
fn another_instance_grants_once_the_holder_is_gone() {
    let mut fleet = limited_fleet(SIZES[0]);
    let mut sent = try_to_send(&mut fleet, WINDOW_MS);
    let (holder, _request) = permit_requests(&mut fleet).remove(0);

    fleet.kill(holder);
    sent.extend(try_to_send(&mut fleet, 3 * WINDOW_MS));

    assert!(max_in_window(&sent) <= MAX_IN_WINDOW);
    let used = sent.len() as f64 / (LIMIT_PER_S * 16.0);
    assert!(used > 0.6, "{used}");
}

/// Guards against two instances that both grant the whole limit while their views of the fleet differ.
#[test]
fn an_instance_that_is_not_the_holder_grants_nothing() {
    let mut fleet = limited_fleet(SIZES[0]);
    let (holder, request) = permit_requests(&mut fleet).remove(0);
    let now = fleet.now + WINDOW_MS;

    for (address, other) in &mut fleet.alive {
        if *address != holder {
            let answer = other.answer_permit_request(now, &request).unwrap();
            assert!(answer.refused_for_ms.is_some());
        }
    }
}

/// Guards against a limit that is never lifted, and against a response sent before the limit was learned
/// that lifts it because it arrives late.
#[test]
fn only_an_answer_to_a_later_request_lifts_a_limit() {
    let mut fleet = limited_fleet(1);
    let address = *fleet.alive.keys().next().unwrap();
    let learned_at = fleet.now;
    let now = learned_at + 100;
    let serving = serving(&mut fleet, address);
    let unlimited = TargetNotice::default();

    serving.apply_target_notice(now, learned_at, &target(), &unlimited);
    assert_eq!(
        serving.request_permission(now, &target()),
        Permission::Refused
    );

    serving.apply_target_notice(now, learned_at + 1, &target(), &unlimited);
    assert_eq!(
        serving.request_permission(now, &target()),
        Permission::Granted
    );
}

/// Guards against reports that use up the limit of an engine, and against a limit that is never refreshed.
#[test]
fn the_report_of_a_limited_engine_is_read_once_its_limit_is_stale() {
    let mut fleet = limited_fleet(1);
    let address = *fleet.alive.keys().next().unwrap();
    let now = fleet.now;
    let serving = serving(&mut fleet, address);
    let is_read = |serving: &Serving, now| {
        let engines = serving.reported_engines(now);
        (
            engines.len(),
            engines.iter().any(|engine| engine.id == target()),
        )
    };

    assert_eq!(is_read(serving, now + 4_999), (3, false));
    assert_eq!(is_read(serving, now + 5_000), (4, true));
    serving.apply_target_notice(now + 5_100, now + 5_050, &target(), &limited());
    assert_eq!(is_read(serving, now + 5_200), (3, false));
}

/// Guards against a peer's report that is lost because it arrives before the target's entry.
#[test]
fn a_limit_may_be_reported_before_the_entry_of_its_target() {
    let mut fleet = limited_fleet(1);
    let address = *fleet.alive.keys().next().unwrap();
    let now = fleet.now;
    let serving = serving(&mut fleet, address);
    let early: TargetId = "e-99".into();

    serving.apply_target_notice(now, now, &early, &limited());
    serving.tick(now + 100);
    serving.apply_store_change(now + 200, &change("e-99", 2, TargetState::Ready));

    assert_eq!(serving.limit_per_s(START, &early), Some(LIMIT_PER_S));
}

/// Guards against instances that go on sending until each of them has learned the limit from the target.
#[test]
fn a_limit_that_one_instance_learns_reaches_all() {
    for size in [SIZES[0], 20] {
        let mut fleet = Fleet::start(size);
        fleet.steps(STEPS_TO_SETTLE);
        let now = fleet.now;
        let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();

        serving(&mut fleet, addresses[0]).apply_target_notice(now, now, &target(), &limited());
        fleet.deliver_news();

        for address in addresses {
            let permission = serving(&mut fleet, address).request_permission(now, &target());
            assert_ne!(permission, Permission::Granted, "{size}");
        }
    }
}

/// Guards against two instances that learn different limits at the same time and swap them forever.
#[test]
fn concurrent_reports_of_a_limit_converge() {
    let mut fleet = limited_fleet(SIZES[0]);
    fleet.deliver_news();
    let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
    let now = fleet.now + 1;

    serving(&mut fleet, addresses[0]).apply_target_notice(
        now,
        now,
        &target(),
        &TargetNotice::default(),
    );
    let other = TargetNotice {
        limit_per_s: Some(2.0),
        ..TargetNotice::default()
    };
    serving(&mut fleet, addresses[1]).apply_target_notice(now, now, &target(), &other);
    fleet.deliver_news();

    for address in addresses {
        let permission = serving(&mut fleet, address).request_permission(now, &target());
        assert_ne!(permission, Permission::Granted);
    }
}

/// Guards against a target that gets no requests for minutes because many renewals of memory were charged.
#[test]
fn a_debt_is_paid_off_within_the_window() {
    let mut bucket = TokenBucket::new(START);
    for _ in 0..100 {
        bucket.charge(START, LIMIT_PER_S);
    }

    let after_ms = WINDOW_MS + (1_000.0 / LIMIT_PER_S) as u64;

    assert!(bucket.take(START + (WINDOW_MS - 1), LIMIT_PER_S).is_err());
    assert_eq!(bucket.take(START + after_ms, LIMIT_PER_S), Ok(()));
}

/// Guards against a target with a limit of zero that is sent permit requests without a pause.
#[test]
fn a_limit_of_zero_grants_nothing() {
    let mut bucket = TokenBucket::new(START);

    let wait_ms = bucket.take(START + 3_600_000, 0.0).unwrap_err();

    assert!(wait_ms > 0);
}
