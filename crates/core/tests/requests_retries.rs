//! The retry budget, and which requests may be retried.

mod requests_fixture;

use {
    requests_fixture::{DEADLINE_MS, bench, bench_with, dispatches, finished, policy},
    whinlatch_core::AttemptEvent,
    whinlatch_wire::{
        caller::{OutcomeKind, Reason},
        target::RefusalReason,
    },
};

/// Dispatches of one request; more than the retries that an account is always allowed.
const MORE_THAN_THE_BUDGET: usize = 20;

/// Guards against retries that amplify an outage: all engines fail, each request is sent three times,
/// and the fleet gets three times the load when it can handle least.
#[test]
fn retries_stay_within_the_budget_and_requests_end_with_the_reason_of_the_failure() {
    let fields = r#""retry_budget_per_mille":100"#;
    let mut bench = bench_with(&[policy(fields)]);
    let (mut firsts, mut retries) = (0, 0);
    let mut reasons = Vec::new();

    for fingerprint in 0..1_000 {
        let prompt = bench.prompt(fingerprint);
        let mut actions = bench.submit(prompt);
        firsts += 1;
        while let Some(sent) = dispatches(&actions).first() {
            actions = bench.attempt(sent.attempt, AttemptEvent::Failed { status: 500 });
            retries += dispatches(&actions).len();
        }
        reasons.extend(finished(&actions).iter().map(|o| o.reason));
    }

    assert!(retries <= firsts / 10 + 10, "{retries} retries");
    assert!(retries >= firsts / 10 - 10, "{retries} retries");
    assert!(reasons.iter().all(|reason| *reason == Reason::TargetFailed));
}

/// Guards against the failing requests of one account using up the retries of all accounts.
#[test]
fn one_account_cannot_spend_the_retries_of_another() {
    let mut bench = bench();
    for fingerprint in 0..200 {
        let prompt = bench.prompt(fingerprint);
        let mut actions = bench.submit(prompt);
        while let Some(sent) = dispatches(&actions).first() {
            actions = bench.attempt(sent.attempt, AttemptEvent::Failed { status: 500 });
        }
        let mut other = bench.prompt(10_000 + fingerprint);
        other.account = "other".into();
        let attempt = dispatches(&bench.submit(other))[0].attempt;
        bench.attempt(attempt, AttemptEvent::Completed);
    }
    let mut other = bench.prompt(99_999);
    other.account = "other".into();

    let attempt = dispatches(&bench.submit(other))[0].attempt;
    let actions = bench.attempt(attempt, AttemptEvent::Failed { status: 500 });

    assert_eq!(dispatches(&actions).len(), 1);
}

#[test]
fn a_call_that_may_not_be_repeated_is_not_retried_once_sent() {
    for event in [
        AttemptEvent::Broken { chunks: 0 },
        AttemptEvent::Failed { status: 500 },
    ] {
        let mut bench = bench();
        let (_, _, dispatch) = bench.label_in_flight();

        let actions = bench.attempt(dispatch.attempt, event);

        assert!(dispatches(&actions).is_empty());
        assert_eq!(finished(&actions)[0].outcome, OutcomeKind::Unknown);
    }
}

/// Guards against a call that ends as `unknown`, or runs twice, because its service is silent for some time and
/// then answers.
#[test]
fn a_call_that_may_not_be_repeated_waits_for_a_silent_target_until_its_deadline() {
    for answers in [true, false] {
        let mut bench = bench();
        let (_, _, dispatch) = bench.label_in_flight();

        for _ in 0..3 {
            let silent = bench.attempt(dispatch.attempt, AttemptEvent::Silent);
            assert!(dispatches(&silent).is_empty() && finished(&silent).is_empty());
            bench.advance(4_000);
        }

        let (ended, outcome) = if answers {
            let ended = bench.attempt(dispatch.attempt, AttemptEvent::Completed);
            (ended, (OutcomeKind::Completed, Reason::Done))
        } else {
            let ended = bench.advance(DEADLINE_MS);
            (ended, (OutcomeKind::Unknown, Reason::DeadlineReached))
        };
        let ended = finished(&ended);
        assert_eq!((ended[0].outcome, ended[0].reason), outcome);
    }
}

/// Guards against a prompt that waits for a silent engine while another can take it, or is given up because none
/// can.
#[test]
fn a_prompt_at_a_silent_target_goes_to_another_while_one_is_left() {
    let mut bench = bench();
    let prompt = bench.prompt(1);
    let mut tried = dispatches(&bench.submit(prompt));
    for _ in 1..3 {
        let silent = bench.attempt(tried[tried.len() - 1].attempt, AttemptEvent::Silent);
        tried.extend(dispatches(&silent));
        bench.advance(1_000);
    }
    let last = tried[tried.len() - 1].attempt;

    let silent = bench.attempt(last, AttemptEvent::Silent);
    let ended = bench.attempt(last, AttemptEvent::Completed);

    assert_eq!(tried.len(), 3);
    assert!(tried[0].target != tried[1].target && tried[1].target != tried[2].target);
    assert!(dispatches(&silent).is_empty() && finished(&silent).is_empty());
    assert_eq!(finished(&ended)[0].outcome, OutcomeKind::Completed);
}

#[test]
fn a_call_that_was_refused_goes_to_another_target() {
    let mut bench = bench();
    let (_, _, dispatch) = bench.label_in_flight();

    let actions = bench.refuse(dispatch.attempt, RefusalReason::Full);

    assert_ne!(dispatches(&actions)[0].target, dispatch.target);
}

/// Guards against a call that ends as refused although its services are sound: the daemon is so busy that
/// each dispatch is too old to be sent by the time its call is encoded.
#[test]
fn a_dispatch_that_is_too_old_to_be_sent_uses_up_no_attempt() {
    let mut bench = bench();
    let (_, _, mut dispatch) = bench.label_in_flight();
    for _ in 0..MORE_THAN_THE_BUDGET {
        bench.advance(1_100);

        let actions = bench.attempt(dispatch.attempt, AttemptEvent::Stale);

        assert!(finished(&actions).is_empty(), "{:?}", finished(&actions));
        dispatch = dispatches(&actions)[0].clone();
    }
    let actions = bench.attempt(dispatch.attempt, AttemptEvent::Completed);
    assert_eq!(finished(&actions)[0].outcome, OutcomeKind::Completed);
}
