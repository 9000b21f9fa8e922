//! Targets that name a limit, and the instances that share it.

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
        quotas::{Permission, PermitAsk, TokenBucket},
        targets::{TargetNotice, TargetState},
    },
};

/// Sizes of fleets, as the operators run them.
const SIZES: [u64; 3] = [9, 85, 295];
/// Requests a second that the target takes.
const LIMIT_PER_S: f64 = 1.6;
/// Time over which the operators count, in ms.
const WINDOW_MS: u64 = 4_000;
/// What they allow within that time at this limit.
const MOST_IN_WINDOW: usize = 14;
/// Time between two tries of all instances, in ms.
const TRY_MS: u64 = 250;
/// Tries between two looks of the instances: they take each other for alive all the while.
const TRIES_TO_A_LOOK: u64 = 4;
/// Looks until all instances of a fleet know each other.
const LOOKS_TO_SETTLE: usize = 10;

fn target() -> TargetId {
    "e-00".into()
}

fn limited() -> TargetNotice {
    TargetNotice {
        limit_per_s: Some(LIMIT_PER_S),
        ..TargetNotice::default()
    }
}

/// A fleet of which each instance has been told the limit by the target itself.
fn told_fleet(size: u64) -> Fleet {
    let mut fleet = Fleet::start(size);
    fleet.looks(LOOKS_TO_SETTLE);
    let now = fleet.now;
    for serving in fleet.alive.values_mut() {
        serving.noticed(now, now, &target(), &limited());
    }
    fleet
}

/// Whether an instance may send to the target now, as it or the instance that grants finds.
fn may_send(fleet: &mut Fleet, from: SocketAddr) -> bool {
    let now = fleet.now;
    let permission = serving(fleet, from).permission(now, &target());
    match permission {
        Permission::Given => true,
        Permission::Refused => false,
        Permission::Ask { holder, ask } => {
            let holder = fleet.alive.get_mut(&holder);
            let answer = holder.and_then(|holder| holder.grant(now, &ask));
            serving(fleet, from).permit_answered(now, &target(), answer)
        }
    }
}

fn serving(fleet: &mut Fleet, address: SocketAddr) -> &mut Serving {
    fleet.alive.get_mut(&address).unwrap()
}

/// Has all instances try to send for a while. Returns when requests were sent.
fn press(fleet: &mut Fleet, for_ms: u64) -> Vec<MonoMs> {
    let mut sent = Vec::new();
    for number in 0..for_ms / TRY_MS {
        if number % TRIES_TO_A_LOOK == 0 {
            fleet.look();
        } else {
            fleet.now = fleet.now + TRY_MS;
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

fn most_in_window(sent: &[MonoMs]) -> usize {
    let mut window: VecDeque<MonoMs> = VecDeque::new();
    let mut most = 0;
    for at in sent {
        window.push_back(*at);
        while at.since(window[0]) >= WINDOW_MS {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

/// Guards against a limit that is exceeded with the number of instances, or is left unused.
#[test]
fn a_limit_is_kept_and_used_by_fleets_of_any_size() {
    for size in SIZES {
        let mut fleet = told_fleet(size);

        let sent = press(&mut fleet, 3 * WINDOW_MS);

        assert!(most_in_window(&sent) <= MOST_IN_WINDOW, "{size}");
        let used = sent.len() as f64 / (LIMIT_PER_S * 12.0);
        assert!(used > 0.8, "{size}: {used}");
    }
}

/// The asks of all instances that are to ask another one, once no refusal holds any more.
fn asks(fleet: &mut Fleet) -> Vec<(SocketAddr, PermitAsk)> {
    let now = fleet.now + WINDOW_MS;
    let instances = fleet.alive.values_mut();
    instances
        .filter_map(|serving| match serving.permission(now, &target()) {
            Permission::Ask { holder, ask } => Some((holder, ask)),
            Permission::Given | Permission::Refused => None,
        })
        .collect()
}

/// Guards against a limit that is granted twice, or not at all, after the instance that grants it has died.
#[test]
fn another_instance_grants_once_the_holder_is_gone() {
    let mut fleet = told_fleet(SIZES[0]);
    let mut sent = press(&mut fleet, WINDOW_MS);
    let (holder, _ask) = asks(&mut fleet).remove(0);

    fleet.kill(holder);
    sent.extend(press(&mut fleet, 3 * WINDOW_MS));

    assert!(most_in_window(&sent) <= MOST_IN_WINDOW);
    let used = sent.len() as f64 / (LIMIT_PER_S * 16.0);
    assert!(used > 0.6, "{used}");
}

/// Guards against two instances that both grant all of a limit while views of the fleet differ.
#[test]
fn an_instance_that_does_not_take_itself_for_the_holder_grants_nothing() {
    let mut fleet = told_fleet(SIZES[0]);
    let (holder, ask) = asks(&mut fleet).remove(0);
    let now = fleet.now + WINDOW_MS;

    for (address, other) in &mut fleet.alive {
        if *address != holder {
            let answer = other.grant(now, &ask).unwrap();
            assert!(answer.refused_for_ms.is_some());
        }
    }
}

/// Guards against a limit that counts for good: an answer that was sent before it was heard of may come late.
#[test]
fn only_an_answer_to_a_later_request_lifts_a_limit() {
    let mut fleet = told_fleet(1);
    let address = *fleet.alive.keys().next().unwrap();
    let heard_at = fleet.now;
    let now = heard_at + 100;
    let serving = serving(&mut fleet, address);
    let unlimited = TargetNotice::default();

    serving.noticed(now, heard_at, &target(), &unlimited);
    assert_eq!(serving.permission(now, &target()), Permission::Refused);

    serving.noticed(now, heard_at + 1, &target(), &unlimited);
    assert_eq!(serving.permission(now, &target()), Permission::Given);
}

/// Guards against reports that use up the limit of an engine in need, and against a limit that nobody looks up.
#[test]
fn the_report_of_a_limited_engine_is_read_once_its_limit_was_not_heard_of_for_a_while() {
    let mut fleet = told_fleet(1);
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
    serving.noticed(now + 5_100, now + 5_050, &target(), &limited());
    assert_eq!(is_read(serving, now + 5_200), (3, false));
}

/// Guards against the word of a peer that is lost since it comes before the entry it is about.
#[test]
fn a_limit_may_be_told_of_before_the_entry_of_its_target() {
    let mut fleet = told_fleet(1);
    let address = *fleet.alive.keys().next().unwrap();
    let now = fleet.now;
    let serving = serving(&mut fleet, address);
    let early: TargetId = "e-99".into();

    serving.noticed(now, now, &early, &limited());
    serving.tick(now + 100);
    serving.target_published(now + 200, change("e-99", 2, TargetState::Ready));

    assert_eq!(serving.limit_per_s(&early), Some(LIMIT_PER_S));
}

/// Guards against instances that go on sending until the target has told each of them.
#[test]
fn the_limit_that_one_instance_hears_is_told_to_all() {
    for size in [SIZES[0], 20] {
        let mut fleet = Fleet::start(size);
        fleet.looks(LOOKS_TO_SETTLE);
        let now = fleet.now;
        let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();

        serving(&mut fleet, addresses[0]).noticed(now, now, &target(), &limited());
        fleet.tell_news();

        for address in addresses {
            let permission = serving(&mut fleet, address).permission(now, &target());
            assert_ne!(permission, Permission::Given, "{size}");
        }
    }
}

/// Guards against two instances that tell each other what they heard at the same time, and swap it for ever.
#[test]
fn statements_of_a_limit_that_cross_settle() {
    let mut fleet = told_fleet(SIZES[0]);
    fleet.tell_news();
    let addresses: Vec<SocketAddr> = fleet.alive.keys().copied().collect();
    let now = fleet.now + 1;

    serving(&mut fleet, addresses[0]).noticed(now, now, &target(), &TargetNotice::default());
    let other = TargetNotice {
        limit_per_s: Some(2.0),
        ..TargetNotice::default()
    };
    serving(&mut fleet, addresses[1]).noticed(now, now, &target(), &other);
    fleet.tell_news();

    for address in addresses {
        let permission = serving(&mut fleet, address).permission(now, &target());
        assert_ne!(permission, Permission::Given);
    }
}

/// Guards against a target that gets nothing for minutes, since memory at it was renewed many times.
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

/// Guards against a target that takes nothing at all and is asked all the time.
#[test]
fn a_limit_of_nothing_grants_nothing() {
    let mut bucket = TokenBucket::new(START);

    let wait_ms = bucket.take(START + 3_600_000, 0.0).unwrap_err();

    assert!(wait_ms > 0);
}
