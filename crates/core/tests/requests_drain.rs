//! A daemon that is stopped: requests in flight finish, and no new request is lost.

mod requests_fixture;

use {
    requests_fixture::{Bench, bench, dispatches, finished, replayed, sent_news},
    whinlatch_core::{Action, AttemptEvent, Event},
    whinlatch_wire::{
        caller::{OutcomeKind, Reason},
        ids::Incarnation,
        peer::MemberState,
    },
};

const PEER: Incarnation = Incarnation(0xB);
/// Longer than callers keep the list of entries, in ms.
const ENTRIES_EXPIRED_MS: u64 = 3_100;

fn stopping_bench() -> Bench {
    let mut bench = bench();
    bench.link(PEER);
    bench.event(Event::Stop);
    bench
}

fn count_stopped(actions: &[Action]) -> usize {
    let stopped = actions
        .iter()
        .filter(|action| matches!(action, Action::Stopped));
    stopped.count()
}

/// Guards against callers still being directed to a leaving daemon because its peers list it.
#[test]
fn peers_learn_of_a_leaving_daemon_and_its_entries_omit_it() {
    let mut bench = stopping_bench();

    let actions = bench.advance(600);

    let states: Vec<MemberState> = sent_news(&actions)
        .iter()
        .flat_map(|news| &news.members)
        .map(|member| member.state)
        .collect();
    assert!(states.contains(&MemberState::Leaving), "sent {states:?}");
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
fn a_peer_that_links_later_learns_of_the_leaving_daemon_too() {
    let mut bench = stopping_bench();
    bench.advance(600);
    let late = Incarnation(0xC);

    let mut actions = bench.link(late);
    actions.extend(bench.advance(600));

    let to_late = actions.iter().any(|action| {
        matches!(action, Action::Send { to, frame } if *to == late
            && frame.news.members.iter().any(|m| m.state == MemberState::Leaving))
    });
    assert!(to_late);
}

#[test]
fn new_work_is_accepted_until_callers_have_dropped_the_address_and_refused_after() {
    let mut bench = stopping_bench();
    let early = bench.prompt(1);
    let taken = bench.submit(early);
    bench.advance(ENTRIES_EXPIRED_MS);

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
fn requests_in_flight_finish_and_the_stop_is_reported_once() {
    let mut bench = bench();
    let prompt = bench.prompt(1);
    let attempt = dispatches(&bench.submit(prompt))[0].attempt;
    bench.event(Event::Stop);

    let working = bench.advance(30_000);
    let ended = bench.attempt(attempt, AttemptEvent::Completed);
    let after = bench.advance(1_000);

    assert_eq!(count_stopped(&working), 0);
    assert_eq!(finished(&ended)[0].outcome, OutcomeKind::Completed);
    assert_eq!(count_stopped(&after), 1);
}

/// Guards against callers that get no outcome when the process must exit, and against `not_run` for what a
/// target may have run.
#[test]
fn an_aborted_daemon_ends_each_request_with_what_is_known() {
    let mut bench = bench();
    let (ticket, call, _) = bench.label_in_flight();
    let again = bench.label(Some(ticket));
    let attached = again.request;
    bench.submit(again);
    let prompt = bench.prompt(1);
    let in_flight = prompt.request;
    bench.submit(prompt);
    bench.now += 5_000;
    let late = bench.prompt(2);
    let held = late.request;
    bench.submit(late);

    let aborted = bench.event(Event::Abort);
    let after = bench.prompt(3);
    let refused = bench.submit(after);

    let mut ended: Vec<_> = finished(&aborted)
        .iter()
        .map(|outcome| (outcome.request, outcome.outcome, outcome.reason))
        .collect();
    ended.sort_by_key(|(request, ..)| *request);
    assert_eq!(
        ended,
        [
            (call, OutcomeKind::Unknown, Reason::Leaving),
            (attached, OutcomeKind::Unknown, Reason::Leaving),
            (in_flight, OutcomeKind::Unknown, Reason::Leaving),
            (held, OutcomeKind::NotRun, Reason::Leaving),
        ]
    );
    assert_eq!(count_stopped(&aborted), 1);
    assert_eq!(finished(&refused)[0].reason, Reason::Leaving);
}

/// Guards against a second run: a stopping daemon refuses a request as `not_run`, but leaves its unused
/// ticket open, so that a later request under the ticket would run.
#[test]
fn unused_tickets_stay_closed_once_new_work_is_refused() {
    let mut bench = bench();
    let ticket = bench.ticket();
    bench.event(Event::Stop);
    bench.advance(ENTRIES_EXPIRED_MS);

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
    let (ticket, _, dispatch) = bench.label_in_flight();
    bench.event(Event::Stop);
    bench.advance(ENTRIES_EXPIRED_MS);
    let again = bench.label(Some(ticket));
    bench.submit(again);

    let ended = bench.attempt(dispatch.attempt, AttemptEvent::Completed);

    assert_eq!(replayed(&ended)[0].outcome, OutcomeKind::Completed);
}
