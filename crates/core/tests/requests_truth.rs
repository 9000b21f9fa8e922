//! Outcomes that callers receive for failed attempts, and when they receive them.

mod requests_fixture;

use {
    requests_fixture::{ENGINES, bench, dispatches, finished},
    whinlatch_core::{AttemptEvent, Event, MonoMs},
    whinlatch_wire::{
        caller::{OutcomeKind, Reason},
        target::{Refusal, RefusalReason},
    },
};

/// Guards against `not_run` for a prompt that an engine has run: the first engine's connection breaks during the
/// answer, and the next ones refuse because they are full. The last refusal must not decide the outcome.
#[test]
fn a_refusal_does_not_hide_an_earlier_attempt_that_may_have_run() {
    let mut bench = bench();
    let prompt = bench.prompt(1);
    let mut actions = bench.submit(prompt);
    let first = dispatches(&actions)[0].attempt;
    actions = bench.attempt(first, AttemptEvent::Broken { chunks: 2 });

    while let Some(next) = dispatches(&actions).first() {
        actions = bench.refuse(next.attempt, RefusalReason::Full);
    }

    assert_eq!(finished(&actions)[0].outcome, OutcomeKind::Unknown);
}

/// Guards against `not_run` for a call that was run: the service ran it and died before it answered. The
/// call was sent again over a new connection, and the new run of the service refused it.
#[test]
fn a_refusal_by_another_run_of_the_target_proves_nothing() {
    let mut bench = bench();
    let (_, _, dispatch) = bench.label_in_flight();

    let actions = bench.refuse(dispatch.attempt, RefusalReason::OtherIncarnation);

    assert!(dispatches(&actions).is_empty());
    assert_eq!(finished(&actions)[0].outcome, OutcomeKind::Unknown);
}

#[test]
fn only_refusals_and_unsent_attempts_end_as_not_run_with_a_retry_time() {
    let mut bench = bench();
    let prompt = bench.prompt(1);
    let mut actions = bench.submit(prompt);
    let first = dispatches(&actions)[0].attempt;
    actions = bench.attempt(first, AttemptEvent::NotSent);

    while let Some(next) = dispatches(&actions).first() {
        actions = bench.refuse(next.attempt, RefusalReason::Full);
    }

    let outcome = &finished(&actions)[0];
    assert_eq!(
        (outcome.outcome, outcome.reason),
        (OutcomeKind::NotRun, Reason::FleetFull)
    );
    assert!(outcome.retry_after_ms.is_some());
}

/// Guards against a request that ends as refused while its engine works on it. On a reused connection,
/// the refusal of one attempt arrives as the answer to another; the refusal must not end the attempt
/// that it names.
#[test]
fn a_crossed_refusal_ends_no_other_request() {
    let mut bench = bench();
    let (one, two) = (bench.prompt(1), bench.prompt(2));
    let on_one = dispatches(&bench.submit(one.clone()))[0].attempt;
    let on_two = dispatches(&bench.submit(two))[0].attempt;
    let crossed = Refusal {
        attempt: on_one,
        reason: RefusalReason::Invalid,
        retry_after_ms: None,
    };

    bench.attempt(on_two, AttemptEvent::Refused(crossed));
    let actions = bench.attempt(on_one, AttemptEvent::Completed);

    assert_eq!(finished(&actions)[0].request, one.request);
    assert_eq!(finished(&actions)[0].outcome, OutcomeKind::Completed);
}

/// Guards against a retry after the caller's deadline: on a busy daemon, the failure of the first
/// attempt is handled before the tick that would end the request.
#[test]
fn an_event_after_the_deadline_finds_the_request_ended() {
    let mut bench = bench();
    let prompt = bench.prompt(1);
    let actions = bench.submit(prompt);
    let attempt = dispatches(&actions)[0].attempt;
    bench.advance(59_900);
    bench.now += 200;

    let actions = bench.attempt(attempt, AttemptEvent::NotSent);

    assert!(dispatches(&actions).is_empty());
    assert_eq!(finished(&actions)[0].reason, Reason::DeadlineReached);
}

#[test]
fn the_next_wake_is_the_earliest_deadline() {
    let mut bench = bench();
    for deadline_ms in [9_000, 700, 5_000] {
        let mut prompt = bench.prompt(deadline_ms);
        prompt.deadline_ms = deadline_ms;
        bench.submit(prompt);
    }
    let wake = bench.core.next_wake(MonoMs(bench.now));

    bench.now += 700;
    let ended = bench.event(Event::Tick);

    assert_eq!(wake, Some(MonoMs(bench.now)));
    assert_eq!(finished(&ended).len(), 1);
    let next = bench.core.next_wake(MonoMs(bench.now));
    assert_eq!(next, Some(MonoMs(bench.now + 4_300)));
}

#[test]
fn a_cancelled_attempt_is_unknown_and_its_late_answer_is_dropped() {
    let mut bench = bench();
    let prompt = bench.prompt(1);
    let request = prompt.request;
    let attempt = dispatches(&bench.submit(prompt))[0].attempt;

    let gone = bench.event(Event::CallerGone { request });
    let late = bench.attempt(attempt, AttemptEvent::Completed);

    assert_eq!(finished(&gone)[0].outcome, OutcomeKind::Unknown);
    assert!(late.is_empty());
}

#[test]
fn an_engine_that_refused_is_not_tried_again_while_another_exists() {
    let mut bench = bench();
    let prompt = bench.prompt(1);
    let mut actions = bench.submit(prompt);
    let mut tried = Vec::new();

    while let Some(next) = dispatches(&actions).first() {
        tried.push(next.target.clone());
        actions = bench.refuse(next.attempt, RefusalReason::Full);
    }

    tried.sort();
    tried.dedup();
    assert!(tried.len() == 3 && ENGINES.len() > 3, "tried {tried:?}");
}
