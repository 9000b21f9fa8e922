//! A daemon that is told to stop: nothing is cut off, nothing new is lost.

mod requests_fixture;

use {
    requests_fixture::{Bench, bench, dispatches, finished, replayed, told},
    whinlatch_core::{Action, AttemptEvent, Event},
    whinlatch_wire::{
        caller::{OutcomeKind, Reason},
        ids::Incarnation,
        peer::MemberState,
    },
};

const PEER: Incarnation = Incarnation(0xB);
/// Longer than callers keep the entries.
const FORGOTTEN_MS: u64 = 3_100;

fn stopping() -> Bench {
    let mut bench = bench();
    bench.link(PEER);
    bench.event(Event::Stop);
    bench
}

fn stops(actions: &[Action]) -> usize {
    let stops = actions
        .iter()
        .filter(|action| matches!(action, Action::Stopped));
    stops.count()
}

/// Callers go on being sent to a daemon that is about to end, since the peers still name it.
#[test]
fn peers_are_told_and_the_entries_no_longer_name_a_leaving_daemon() {
    let mut bench = stopping();

    let actions = bench.pass(600);

    let states: Vec<MemberState> = told(&actions)
        .iter()
        .flat_map(|news| &news.members)
        .map(|member| member.state)
        .collect();
    assert!(states.contains(&MemberState::Leaving), "told {states:?}");
    let own = ([127, 0, 0, 0xA], 80).into();
    assert!(
        bench
            .core
            .entries()
            .entries
            .iter()
            .all(|e| e.address != own)
    );
}

#[test]
fn a_peer_that_links_later_is_told_too() {
    let mut bench = stopping();
    bench.pass(600);
    let late = Incarnation(0xC);

    let mut actions = bench.link(late);
    actions.extend(bench.pass(600));

    let to_late = actions.iter().any(|action| {
        matches!(action, Action::Send { to, frame } if *to == late
            && frame.news.members.iter().any(|m| m.state == MemberState::Leaving))
    });
    assert!(to_late);
}

#[test]
fn new_work_is_taken_until_callers_have_dropped_the_address_and_refused_after() {
    let mut bench = stopping();
    let early = bench.prompt(1);
    let taken = bench.submit(early);
    bench.pass(FORGOTTEN_MS);

    let late = bench.prompt(2);
    let refused = bench.submit(late);

    assert_eq!(dispatches(&taken).len(), 1);
    let outcome = &finished(&refused)[0];
    assert_eq!(
        (outcome.outcome, outcome.reason, outcome.retry_after_ms),
        (OutcomeKind::NotRun, Reason::Leaving, Some(0))
    );
}

#[test]
fn nothing_in_flight_is_cut_off_and_the_end_is_told_once() {
    let mut bench = bench();
    let prompt = bench.prompt(1);
    let attempt = dispatches(&bench.submit(prompt))[0].attempt;
    bench.event(Event::Stop);

    let working = bench.pass(30_000);
    let ended = bench.attempt(attempt, AttemptEvent::Completed);
    let after = bench.pass(1_000);

    assert_eq!(stops(&working), 0);
    assert_eq!(finished(&ended)[0].outcome, OutcomeKind::Completed);
    assert_eq!(stops(&after), 1);
}

/// A label is made twice: a daemon at its end refuses a request with an unused ticket as
/// `not_run`, and the next call finds the ticket usable again.
#[test]
fn unused_tickets_are_closed_for_ever() {
    let mut bench = bench();
    let ticket = bench.ticket();
    bench.event(Event::Stop);
    bench.pass(FORGOTTEN_MS);

    for _ in 0..2 {
        let label = bench.label(Some(ticket));
        let actions = bench.submit(label);

        assert!(dispatches(&actions).is_empty());
        let outcome = &finished(&actions)[0];
        assert_eq!(
            (outcome.outcome, outcome.reason),
            (OutcomeKind::NotRun, Reason::Leaving)
        );
    }
}

#[test]
fn a_leaving_home_still_answers_for_its_tickets() {
    let mut bench = bench();
    let (ticket, _, flight) = bench.label_in_flight();
    bench.event(Event::Stop);
    bench.pass(FORGOTTEN_MS);
    let again = bench.label(Some(ticket));
    bench.submit(again);

    let ended = bench.attempt(flight.attempt, AttemptEvent::Completed);

    assert_eq!(replayed(&ended)[0].outcome, OutcomeKind::Completed);
}
