//! Leaked memory at engines: holdings whose owner doesn't release them.

mod requests_fixture;

use {
    requests_fixture::{Bench, HOME, bench, calls, dispatches, report, run_of},
    whinlatch_core::{Event, TargetCall},
    whinlatch_wire::{
        ids::{AttemptId, Incarnation},
        peer::MemberState,
        target::{Holding, LoadReport},
    },
};

const PEER: Incarnation = Incarnation(0xB);
const LEAKED: AttemptId = AttemptId(0xF00D);

fn holding(owner: Incarnation, overdue_ms: u64, reservation: bool) -> LoadReport {
    let holdings = vec![Holding {
        attempt: LEAKED,
        owner,
        tokens: 1_000,
        overdue_ms,
        reservation,
    }];
    LoadReport {
        holdings,
        ..report(run_of("e1"))
    }
}

/// Advances the clock by `ms` while `e1` keeps reporting `load`. Returns the calls that free [`LEAKED`].
fn freed(bench: &mut Bench, ms: u64, load: &LoadReport) -> Vec<TargetCall> {
    let mut all = Vec::new();
    for _ in 0..ms / 250 {
        bench.now += 250;
        let mut actions = bench.report_with("e1", load.clone());
        actions.extend(bench.event(Event::Tick));
        all.extend(calls(&actions));
    }
    all.retain(|(_, call)| match call {
        TargetCall::Cancel(cancel) => cancel.attempt == LEAKED,
        TargetCall::Release(release) => release.reservation == LEAKED,
        _ => false,
    });
    all.into_iter().map(|(_, call)| call).collect()
}

/// Guards against an engine running out of memory because the daemon that owned a request is gone and
/// the engine keeps the memory past the deadline.
#[test]
fn overdue_holdings_are_cancelled_whoever_owns_them() {
    let mut bench = bench();

    let early = freed(&mut bench, 1_000, &holding(PEER, 500, false));
    let late = freed(&mut bench, 1_000, &holding(PEER, 10_000, false));

    assert!(early.is_empty());
    assert!(matches!(late[0], TargetCall::Cancel(_)));
}

#[test]
fn an_overdue_reservation_is_released() {
    let mut bench = bench();

    let late = freed(&mut bench, 1_000, &holding(PEER, 10_000, true));

    assert!(matches!(late[0], TargetCall::Release(_)));
}

#[test]
fn holdings_of_a_dead_daemon_are_freed_before_the_deadline_and_those_of_a_suspect_are_not() {
    let mut bench = bench();
    bench.link(PEER);
    bench.link(Incarnation(0xC));
    let load = holding(PEER, 0, false);

    bench.member_news(Incarnation(0xC), PEER, MemberState::Suspect);
    let suspect = freed(&mut bench, 2_000, &load);
    bench.member_news(Incarnation(0xC), PEER, MemberState::Dead);
    let dead = freed(&mut bench, 20_000, &load);

    assert!(suspect.is_empty());
    assert!(!dead.is_empty());
}

/// Guards against an engine working on for a caller that has disconnected, because the cancel was lost.
#[test]
fn an_own_attempt_that_has_ended_is_cancelled_again_and_one_in_flight_is_not() {
    let mut bench = bench();
    let prompt = bench.prompt(1);
    let live = dispatches(&bench.submit(prompt))[0].attempt;
    let mut load = holding(HOME, 0, false);
    load.holdings.push(Holding {
        attempt: live,
        ..load.holdings[0].clone()
    });

    let again = freed(&mut bench, 5_000, &load);

    assert!(again.len() >= 2, "cancelled {} times", again.len());
    assert!(
        !again
            .iter()
            .any(|call| matches!(call, TargetCall::Cancel(c) if c.attempt == live))
    );
}

#[test]
fn an_own_reservation_without_a_group_is_released() {
    let mut bench = bench();

    let freed = freed(&mut bench, 2_000, &holding(HOME, 0, true));

    assert!(matches!(freed[0], TargetCall::Release(_)));
}

/// Guards against leaked memory that no daemon frees because the one ranked first can't reach the
/// engine.
#[test]
fn every_daemon_eventually_frees_an_overdue_holding() {
    for own in 0xA..0xE {
        let mut bench = Bench::empty(Incarnation(own));
        bench.publish(requests_fixture::records().iter());
        for peer in (0xA..0xE).filter(|peer| *peer != own) {
            bench.link(Incarnation(peer));
        }

        let load = holding(Incarnation(0xFF), 60_000, false);
        let late = freed(&mut bench, 30_000, &load);

        assert!(!late.is_empty(), "daemon {own:x} never freed it");
    }
}
