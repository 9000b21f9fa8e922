//! Notices that targets send in their responses, and published entries that contradict them.

use {
    super::{
        fixture::{START, change, member, removal, rule, run_change},
        fleet_fixture::Fleet,
    },
    std::net::SocketAddr,
    whinlatch_serving::{
        Serving,
        names::TargetId,
        targets::{TargetNotice, TargetState},
    },
};

/// Steps until all instances of a fleet know each other.
const STEPS_TO_SETTLE: usize = 10;

fn leaving() -> TargetNotice {
    TargetNotice {
        is_leaving: true,
        ..TargetNotice::default()
    }
}

fn serving() -> Serving {
    Serving::new(member(1, 7_000), rule())
}

/// Guards against a target that is used again after its leave notice, because the store lags and lists it
/// as ready.
#[test]
fn an_entry_does_not_revoke_a_leave_notice() {
    let mut serving = serving();
    serving.apply_store_change(START, &change("e-1", 2, TargetState::Ready));

    serving.apply_target_notice(START, START, &"e-1".into(), &leaving());
    serving.apply_store_change(START, &change("e-1", 3, TargetState::Ready));

    assert!(serving.ready_targets().is_empty());
}

/// Guards against a peer's report that is lost because it arrives before the target's entry.
#[test]
fn a_leave_notice_may_arrive_before_the_entry() {
    let mut serving = serving();

    serving.apply_target_notice(START, START, &"e-1".into(), &leaving());
    serving.apply_store_change(START, &change("e-1", 2, TargetState::Ready));

    assert!(serving.ready_targets().is_empty());
}

/// Guards against a new run that gets no requests because the run before it has left.
#[test]
fn a_run_that_follows_one_that_left_is_used() {
    let mut serving = serving();
    serving.apply_store_change(START, &run_change("e-1", 2, 1_000));
    serving.apply_target_notice(START, START, &"e-1#1000".into(), &leaving());
    serving.apply_store_change(START, &change("e-2", 3, TargetState::Ready));
    serving.apply_target_notice(START, START, &"e-2".into(), &leaving());

    serving.apply_store_change(START, &run_change("e-1", 4, 2_000));
    serving.apply_store_change(START, &removal("e-2", 5));
    serving.apply_store_change(START, &change("e-2", 6, TargetState::Ready));

    assert_eq!(serving.ready_targets(), ["e-1#2000", "e-2"]);
}

/// Guards against instances of a large fleet that go on sending requests because they don't link to the one
/// that received the notice.
#[test]
fn hubs_pass_on_leave_notices() {
    for size in [9, 85] {
        let mut fleet = Fleet::start(size);
        fleet.steps(STEPS_TO_SETTLE);
        let target: TargetId = "e-00".into();
        let now = fleet.now;
        let first = fleet.alive.values_mut().next().unwrap();

        first.apply_target_notice(now, now, &target, &leaving());
        fleet.deliver_news();

        let mut instances = fleet.alive.values();
        let is_unused = |serving: &Serving| !serving.ready_targets().contains(&target.to_string());
        assert!(instances.all(is_unused), "{size}");
    }
}

/// Guards against an instance that starts, or was cut off, while a target leaves and the store is down.
#[test]
fn a_link_begins_with_the_targets_that_are_leaving() {
    let mut notified = serving();
    let mut other = Serving::new(member(2, 7_010), rule());
    for serving in [&mut notified, &mut other] {
        serving.apply_store_change(START, &change("e-1", 2, TargetState::Ready));
    }
    notified.apply_target_notice(START, START, &"e-1".into(), &leaving());
    let to: SocketAddr = other.peer_address();

    let greeting = notified.greeting(START, to, false);
    other.on_frame(START, 1, greeting, |_text| None);

    assert!(other.ready_targets().is_empty());
}
