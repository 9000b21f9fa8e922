//! Requests that must not run twice: one run for each ticket, regardless of what callers resend.

mod requests_fixture;

use {
    requests_fixture::{Bench, HOME, bench, dispatches, finished, replayed},
    whinlatch_core::{Action, AttemptEvent, Event, Submission},
    whinlatch_wire::{
        caller::{OutcomeKind, Reason},
        ids::{Incarnation, Ticket},
        peer::MemberState,
    },
};

const PEER: Incarnation = Incarnation(0xB);

/// Guards against `unknown` for a call that completes a moment later: the caller's connection breaks
/// while the call runs, and the caller resends it with its ticket.
#[test]
fn a_resend_in_flight_gets_the_answer_of_the_one_run() {
    let mut bench = bench();
    let (ticket, first, dispatch) = bench.label_in_flight();
    let again = bench.label(Some(ticket));

    let waits = bench.submit(again.clone());
    let ended = bench.attempt(dispatch.attempt, AttemptEvent::Completed);

    assert!(finished(&waits).is_empty() && dispatches(&waits).is_empty());
    assert_eq!(finished(&ended)[0].request, first);
    assert_eq!(replayed(&ended)[0].request, again.request);
}

#[test]
fn a_waiting_resend_ends_by_its_own_deadline_and_the_run_goes_on() {
    let mut bench = bench();
    let (ticket, first, dispatch) = bench.label_in_flight();
    let again = Submission {
        deadline_ms: 1_000,
        ..bench.label(Some(ticket))
    };
    bench.submit(again.clone());

    let waited = bench.advance(1_000);
    let ended = bench.attempt(dispatch.attempt, AttemptEvent::Completed);

    let outcome = &finished(&waited)[0];
    assert_eq!(
        (outcome.request, outcome.outcome),
        (again.request, OutcomeKind::Unknown)
    );
    assert_eq!(finished(&ended)[0].request, first);
    assert!(replayed(&ended).is_empty());
}

#[test]
fn a_resend_after_the_end_gets_the_kept_answer() {
    let mut bench = bench();
    let (ticket, _, dispatch) = bench.label_in_flight();
    bench.attempt(dispatch.attempt, AttemptEvent::Completed);

    let again = bench.label(Some(ticket));
    let actions = bench.submit(again);

    assert_eq!(replayed(&actions)[0].outcome, OutcomeKind::Completed);
    assert!(dispatches(&actions).is_empty());
}

/// Guards against a run after `not_run` was reported. The first send is delayed on its way to the home.
/// The second finds the service full and ends as `not_run`, so the caller takes other measures. Then the
/// first send arrives, and the service has capacity.
#[test]
fn a_send_that_arrives_after_not_run_was_reported_is_never_run() {
    let mut bench = bench();
    let ticket = bench.ticket();
    let refused = bench.label_refused(ticket);

    let late = bench.label(Some(ticket));
    let after = bench.submit(late);

    assert_eq!(refused, OutcomeKind::NotRun);
    assert!(dispatches(&after).is_empty());
    assert_eq!(finished(&after)[0].outcome, OutcomeKind::NotRun);
}

/// As above, but the second send is refused at admission.
#[test]
fn a_send_that_arrives_after_a_refusal_at_admission_is_never_run() {
    let mut bench = bench();
    let ticket = bench.ticket();
    let invalid = Submission {
        deadline_ms: 0,
        ..bench.label(Some(ticket))
    };
    let refused = bench.submit(invalid);

    let late = bench.label(Some(ticket));
    let after = bench.submit(late);

    assert_eq!(finished(&refused)[0].outcome, OutcomeKind::NotRun);
    assert!(dispatches(&after).is_empty());
    assert_eq!(finished(&after)[0].outcome, OutcomeKind::NotRun);
}

/// Guards against a call that can never run: the full service refuses it, the caller receives `not_run`
/// and resends as advised, but the ticket counts as used although nothing ran.
#[test]
fn a_call_that_was_not_run_gets_a_new_ticket_and_runs_once() {
    let mut bench = bench();
    let spent = bench.ticket();
    bench.label_refused(spent);

    let again = bench.label(Some(spent));
    let renewed = bench.submit(again);
    let fresh = finished(&renewed)[0]
        .ticket
        .expect("the outcome has a new ticket");
    let label = bench.label(Some(fresh));
    let ran = bench.submit(label);
    let dispatch = dispatches(&ran)[0].clone();
    bench.attempt(dispatch.attempt, AttemptEvent::Broken { chunks: 0 });
    let third = bench.label(Some(fresh));
    let after = bench.submit(third);

    assert_ne!(fresh, spent);
    assert!(dispatches(&after).is_empty());
    assert_eq!(finished(&after)[0].outcome, OutcomeKind::Unknown);
}

#[test]
fn another_body_under_a_ticket_is_refused_and_never_run() {
    let mut bench = bench();
    let ticket = bench.ticket();
    let other = Submission {
        fingerprint: 78,
        ..bench.label(Some(ticket))
    };

    let actions = bench.submit(other);

    assert!(dispatches(&actions).is_empty());
    let outcome = &finished(&actions)[0];
    assert_eq!(
        (outcome.outcome, outcome.reason),
        (OutcomeKind::NotRun, Reason::BadRequest)
    );
}

/// Guards against an account that guesses the number of another account's ticket and so reads the kept
/// answer or uses up the ticket.
#[test]
fn a_ticket_is_useless_to_another_account() {
    let mut bench = bench();
    let ticket = bench.ticket();
    let stolen = Submission {
        account: "other".into(),
        ..bench.label(Some(ticket))
    };

    let actions = bench.submit(stolen);

    assert!(dispatches(&actions).is_empty() && replayed(&actions).is_empty());
    assert_eq!(finished(&actions)[0].reason, Reason::TicketLost);
}

#[test]
fn an_idempotency_key_is_bound_to_one_ticket_and_one_body() {
    let mut bench = bench();
    let keyed = |bench: &mut Bench, fingerprint| Submission {
        idempotency_key: Some("order-7".to_owned()),
        fingerprint,
        ..bench.label(None)
    };
    let (first, again, other) = (
        keyed(&mut bench, 77),
        keyed(&mut bench, 77),
        keyed(&mut bench, 78),
    );

    let first = finished(&bench.submit(first))[0].ticket;
    let again = finished(&bench.submit(again))[0].ticket;
    let other = finished(&bench.submit(other))[0].clone();

    assert!(first.is_some() && first == again);
    assert_eq!((other.ticket, other.reason), (None, Reason::BadRequest));
}

/// Guards against a second run long after the first: a caller resends with its key after the home has
/// evicted the ticket. If the key were evicted too, the home would issue a new ticket.
#[test]
fn an_idempotency_key_that_was_used_never_gets_a_second_ticket() {
    let mut bench = bench();
    let keyed = |bench: &mut Bench, ticket| Submission {
        idempotency_key: Some("order-7".to_owned()),
        ..bench.label(ticket)
    };
    let label = keyed(&mut bench, None);
    let ticket = finished(&bench.submit(label))[0].ticket;
    let label = keyed(&mut bench, ticket);
    let dispatch = dispatches(&bench.submit(label))[0].clone();
    bench.attempt(dispatch.attempt, AttemptEvent::Completed);
    let expired = bench.advance(601_000);

    let label = keyed(&mut bench, None);
    let issued = finished(&bench.submit(label))[0].ticket;
    let label = keyed(&mut bench, issued);
    let sent = bench.submit(label);

    assert!(
        expired
            .iter()
            .any(|a| matches!(a, Action::ForgetAnswer { ticket: t } if Some(*t) == ticket))
    );
    assert_eq!(issued, ticket);
    assert!(dispatches(&sent).is_empty());
    assert_eq!(finished(&sent)[0].outcome, OutcomeKind::Unknown);
}

#[test]
fn unused_tickets_of_an_account_are_bounded_and_expire() {
    let mut bench = bench();
    let mut refused = None;
    for _ in 0..20_000 {
        let label = bench.label(None);
        let outcome = finished(&bench.submit(label))[0].clone();
        if outcome.ticket.is_none() {
            refused = Some(outcome);
            break;
        }
    }
    let refused = refused.expect("the number of an account's tickets is limited");
    assert_eq!(
        (refused.outcome, refused.reason),
        (OutcomeKind::NotRun, Reason::AccountLimit)
    );

    bench.advance(refused.retry_after_ms.expect("a retry time") + 50);
    let label = bench.label(None);
    assert!(finished(&bench.submit(label))[0].ticket.is_some());
}

#[test]
fn a_ticket_that_was_never_issued_is_never_run() {
    let mut bench = bench();
    let issued = bench.ticket();
    for number in [issued.number - 1, issued.number + 1, 0, 1, 2, u64::MAX] {
        let guess = Ticket { home: HOME, number };
        let label = bench.label(Some(guess));

        let actions = bench.submit(label);

        assert!(dispatches(&actions).is_empty());
        assert_eq!(finished(&actions)[0].outcome, OutcomeKind::Unknown);
    }
}

/// Guards against losing the answer of a call that was run: if the daemon cancelled the run when its
/// caller disconnects, the resend could only end as `unknown`.
#[test]
fn a_run_under_a_ticket_continues_when_its_caller_disconnects() {
    let mut bench = bench();
    let (ticket, request, dispatch) = bench.label_in_flight();

    let gone = bench.event(Event::CallerGone { request });
    bench.attempt(dispatch.attempt, AttemptEvent::Completed);
    let again = bench.label(Some(ticket));
    let actions = bench.submit(again);

    assert!(
        !gone
            .iter()
            .any(|action| matches!(action, Action::Abandon { .. }))
    );
    assert_eq!(replayed(&actions)[0].outcome, OutcomeKind::Completed);
}

/// Guards against `not_run` for a call that was run, after which the caller would request it again: a
/// resend with an invalid deadline is refused before its ticket is claimed.
#[test]
fn a_resend_refused_at_admission_does_not_end_as_not_run() {
    let mut bench = bench();
    let (ticket, _, dispatch) = bench.label_in_flight();
    bench.attempt(dispatch.attempt, AttemptEvent::Completed);
    let again = Submission {
        deadline_ms: 0,
        ..bench.label(Some(ticket))
    };

    let actions = bench.submit(again);

    let outcome = &finished(&actions)[0];
    assert_eq!(
        (outcome.outcome, outcome.reason),
        (OutcomeKind::Unknown, Reason::BadDeadline)
    );
}

#[test]
fn a_request_under_a_ticket_whose_home_is_dead_ends_as_unknown() {
    let mut bench = bench();
    bench.link(PEER);
    let ticket = Ticket {
        home: PEER,
        number: 5,
    };
    bench.member_news(PEER, PEER, MemberState::Dead);

    let label = bench.label(Some(ticket));
    let actions = bench.submit(label);

    assert!(dispatches(&actions).is_empty());
    assert_eq!(finished(&actions)[0].outcome, OutcomeKind::Unknown);
}

/// Guards against a caller that waits past its deadline: its request was forwarded to the home of its
/// ticket, whose process is paused and sends no answer.
#[test]
fn a_forwarded_request_ends_by_its_deadline() {
    let mut bench = bench();
    bench.link(PEER);
    let ticket = Ticket {
        home: PEER,
        number: 5,
    };
    let label = Submission {
        deadline_ms: 1_000,
        ..bench.label(Some(ticket))
    };

    let passed = bench.submit(label);
    let waited = bench.advance(1_000);

    assert!(
        passed
            .iter()
            .any(|action| matches!(action, Action::Forward { .. }))
    );
    assert_eq!(finished(&waited)[0].outcome, OutcomeKind::Unknown);
}
