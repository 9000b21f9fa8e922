//! What retries cost the fleet.

mod requests_fixture;

use {
    requests_fixture::{bench, bench_with, dispatches, finished, policy},
    whinlatch_core::AttemptEvent,
    whinlatch_wire::{
        caller::{OutcomeKind, Reason},
        target::RefusalReason,
    },
};

/// An outage feeds itself: all engines fail and each request is sent three times, so that the
/// fleet gets three times the load just when it can bear least.
#[test]
fn retries_stay_within_the_budget_and_say_the_true_reason() {
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

/// One account's failing requests use up the retries of all.
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
        AttemptEvent::Silent { chunks: 0 },
        AttemptEvent::Failed { status: 500 },
    ] {
        let mut bench = bench();
        let (_, _, flight) = bench.label_in_flight();

        let actions = bench.attempt(flight.attempt, event);

        assert!(dispatches(&actions).is_empty());
        assert_eq!(finished(&actions)[0].outcome, OutcomeKind::Unknown);
    }
}

#[test]
fn a_call_that_was_refused_goes_to_another_target() {
    let mut bench = bench();
    let (_, _, flight) = bench.label_in_flight();

    let actions = bench.refuse(flight.attempt, RefusalReason::Full);

    assert_ne!(dispatches(&actions)[0].target, flight.target);
}
