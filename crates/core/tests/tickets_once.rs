//! Requests that may not be repeated: one run for each ticket, whatever is sent again.

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

/// A member's label is told as `unknown` though the label service answers a moment later. The
/// caller's connection breaks while the call runs; the caller sends it again with its ticket.
#[test]
fn a_resend_in_flight_gets_the_answer_of_the_one_run() {
    let mut bench = bench();
    let (ticket, first, flight) = bench.label_in_flight();
    let again = bench.label(Some(ticket));

    let waits = bench.submit(again.clone());
    let ended = bench.attempt(flight.attempt, AttemptEvent::Completed);

    assert!(finished(&waits).is_empty() && dispatches(&waits).is_empty());
    assert_eq!(finished(&ended)[0].request, first);
    assert_eq!(replayed(&ended)[0].request, again.request);
}

#[test]
fn a_waiting_resend_ends_by_its_own_deadline_and_the_run_goes_on() {
    let mut bench = bench();
    let (ticket, first, flight) = bench.label_in_flight();
    let again = Submission {
        deadline_ms: 1_000,
        ..bench.label(Some(ticket))
    };
    bench.submit(again.clone());

    let waited = bench.pass(1_000);
    let ended = bench.attempt(flight.attempt, AttemptEvent::Completed);

    let told = &finished(&waited)[0];
    assert_eq!(
        (told.request, told.outcome),
        (again.request, OutcomeKind::Unknown)
    );
    assert_eq!(finished(&ended)[0].request, first);
    assert!(replayed(&ended).is_empty());
}

#[test]
fn a_resend_after_the_end_gets_the_kept_answer() {
    let mut bench = bench();
    let (ticket, _, flight) = bench.label_in_flight();
    bench.attempt(flight.attempt, AttemptEvent::Completed);

    let again = bench.label(Some(ticket));
    let actions = bench.submit(again);

    assert_eq!(replayed(&actions)[0].outcome, OutcomeKind::Completed);
    assert!(dispatches(&actions).is_empty());
}

/// A parcel gets a label though its sender was told that there is none. A first send is held up on
/// its way to the home. The second finds the service full; the caller hears `not_run` and writes a
/// label by hand. Then the first arrives, and the service has room.
#[test]
fn a_send_that_comes_after_not_run_was_said_is_never_run() {
    let mut bench = bench();
    let ticket = bench.ticket();
    let refused = bench.label_refused(ticket);

    let late = bench.label(Some(ticket));
    let after = bench.submit(late);

    assert_eq!(refused, OutcomeKind::NotRun);
    assert!(dispatches(&after).is_empty());
    assert_eq!(finished(&after)[0].outcome, OutcomeKind::NotRun);
}

/// The same, but the second send is refused at the door.
#[test]
fn a_send_that_comes_after_a_refusal_at_the_door_is_never_run() {
    let mut bench = bench();
    let ticket = bench.ticket();
    let hasty = Submission {
        deadline_ms: 0,
        ..bench.label(Some(ticket))
    };
    let refused = bench.submit(hasty);

    let late = bench.label(Some(ticket));
    let after = bench.submit(late);

    assert_eq!(finished(&refused)[0].outcome, OutcomeKind::NotRun);
    assert!(dispatches(&after).is_empty());
    assert_eq!(finished(&after)[0].outcome, OutcomeKind::NotRun);
}

/// A parcel gets no label though its caller sends again as it was told. The service is full and
/// refuses, the caller hears `not_run`, and the ticket is spent by a run that never was.
#[test]
fn a_call_that_was_not_run_gets_a_fresh_ticket_and_runs_once() {
    let mut bench = bench();
    let spent = bench.ticket();
    bench.label_refused(spent);

    let again = bench.label(Some(spent));
    let told = bench.submit(again);
    let fresh = finished(&told)[0]
        .ticket
        .expect("a fresh ticket comes along");
    let label = bench.label(Some(fresh));
    let ran = bench.submit(label);
    let flight = dispatches(&ran)[0].clone();
    bench.attempt(flight.attempt, AttemptEvent::Broken { chunks: 0 });
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
    let told = &finished(&actions)[0];
    assert_eq!(
        (told.outcome, told.reason),
        (OutcomeKind::NotRun, Reason::BadRequest)
    );
}

/// One account reads another's label. It names the other's ticket, whose number it has guessed,
/// and gets the kept answer or spends the ticket.
#[test]
fn a_ticket_is_worth_nothing_to_another_account() {
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
fn one_key_means_one_ticket_and_one_body() {
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

/// A caller gets a second label. It asks again with its key long after the first run; the home
/// has forgotten the ticket and the key with it, and hands out a new ticket.
#[test]
fn a_key_that_was_run_is_never_given_a_second_ticket() {
    let mut bench = bench();
    let keyed = |bench: &mut Bench, ticket| Submission {
        idempotency_key: Some("order-7".to_owned()),
        ..bench.label(ticket)
    };
    let label = keyed(&mut bench, None);
    let ticket = finished(&bench.submit(label))[0].ticket;
    let label = keyed(&mut bench, ticket);
    let flight = dispatches(&bench.submit(label))[0].clone();
    bench.attempt(flight.attempt, AttemptEvent::Completed);
    let forgot = bench.pass(601_000);

    let label = keyed(&mut bench, None);
    let asked = finished(&bench.submit(label))[0].ticket;
    let label = keyed(&mut bench, asked);
    let sent = bench.submit(label);

    assert!(
        forgot
            .iter()
            .any(|a| matches!(a, Action::ForgetAnswer { ticket: t } if Some(*t) == ticket))
    );
    assert_eq!(asked, ticket);
    assert!(dispatches(&sent).is_empty());
    assert_eq!(finished(&sent)[0].outcome, OutcomeKind::Unknown);
}

#[test]
fn unused_tickets_of_an_account_are_bounded_and_expire() {
    let mut bench = bench();
    let mut refused = None;
    for _ in 0..20_000 {
        let label = bench.label(None);
        let told = finished(&bench.submit(label))[0].clone();
        if told.ticket.is_none() {
            refused = Some(told);
            break;
        }
    }
    let refused = refused.expect("an account can't take tickets without end");
    assert_eq!(
        (refused.outcome, refused.reason),
        (OutcomeKind::NotRun, Reason::AccountLimit)
    );

    bench.pass(refused.retry_after_ms.expect("a time to come back") + 50);
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

/// A label is lost though it was paid for. The caller's connection goes silent while the call
/// runs; the daemon cancels the run, and the resend can only be told `unknown`.
#[test]
fn a_run_under_a_ticket_goes_on_when_its_caller_goes() {
    let mut bench = bench();
    let (ticket, request, flight) = bench.label_in_flight();

    let gone = bench.event(Event::CallerGone { request });
    bench.attempt(flight.attempt, AttemptEvent::Completed);
    let again = bench.label(Some(ticket));
    let actions = bench.submit(again);

    assert!(
        !gone
            .iter()
            .any(|action| matches!(action, Action::Abandon { .. }))
    );
    assert_eq!(replayed(&actions)[0].outcome, OutcomeKind::Completed);
}

/// A caller hears `not_run` of a label that was made, and asks for another. Its resend has a bad
/// deadline and is refused before anyone looks at the ticket.
#[test]
fn a_resend_refused_at_the_door_is_not_told_as_not_run() {
    let mut bench = bench();
    let (ticket, _, flight) = bench.label_in_flight();
    bench.attempt(flight.attempt, AttemptEvent::Completed);
    let again = Submission {
        deadline_ms: 0,
        ..bench.label(Some(ticket))
    };

    let actions = bench.submit(again);

    let told = &finished(&actions)[0];
    assert_eq!(
        (told.outcome, told.reason),
        (OutcomeKind::Unknown, Reason::BadDeadline)
    );
}

#[test]
fn a_ticket_whose_home_is_gone_is_unknown() {
    let mut bench = bench();
    bench.link(PEER);
    let ticket = Ticket {
        home: PEER,
        number: 5,
    };
    bench.tell_member(PEER, PEER, MemberState::Dead);

    let label = bench.label(Some(ticket));
    let actions = bench.submit(label);

    assert!(dispatches(&actions).is_empty());
    assert_eq!(finished(&actions)[0].outcome, OutcomeKind::Unknown);
}

/// A caller waits past its deadline. Its request was passed on to the ticket's home, and the home
/// is frozen: no answer comes and nobody here watches the time.
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
    let waited = bench.pass(1_000);

    assert!(
        passed
            .iter()
            .any(|action| matches!(action, Action::Forward { .. }))
    );
    assert_eq!(finished(&waited)[0].outcome, OutcomeKind::Unknown);
}
