//! The retry budget, and detection of requests that crash their targets.

use {
    super::fixture::{START, rule},
    whinlatch_serving::{
        fleet::{Condemnation, Crash},
        names::ServiceName,
        retries::{CrashTracker, Fingerprint, FleetBudget},
        targets::TargetEntry,
    },
};

fn crash(fingerprint: Fingerprint, target: &str) -> Crash {
    Crash {
        fingerprint,
        target: target.into(),
        ran_ms: 0,
        age_ms: 0,
    }
}

fn service() -> ServiceName {
    ServiceName::from("engines")
}

/// Takes retries until the budget refuses one. Returns their number.
fn take_all(budget: &mut FleetBudget, instances: usize) -> u32 {
    (0..10_000)
        .take_while(|_| budget.take_retry(START, &service(), instances))
        .count() as u32
}

/// Guards against targets in trouble that get several times their load, because the budgets of the
/// instances, which count only their own requests, add up to more than the fleet's.
#[test]
fn the_shares_of_all_instances_keep_the_fleets_budget() {
    let instances = 9;
    let requests = 50;

    let taken: u32 = (0..instances)
        .map(|_| {
            let mut budget = FleetBudget::new(rule());
            for _ in 0..requests {
                budget.record_request(START, &service());
            }
            take_all(&mut budget, instances)
        })
        .sum();

    let allowed = 0.2 * f64::from(requests) * instances as f64 + 100.0;
    assert!(f64::from(taken) <= allowed, "{taken} of {allowed}");
    assert!(f64::from(taken) >= 0.4 * allowed, "{taken} of {allowed}");
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let mut budget = FleetBudget::new(rule());
    let first = take_all(&mut budget, 9);

    let soon = budget.take_retry(START + 9_000, &service(), 9);
    let later = budget.take_retry(START + 10_600, &service(), 9);

    assert!(first > 0);
    assert!(!soon);
    assert!(later);
}

#[test]
fn retries_of_one_service_leave_the_budget_of_another() {
    let mut budget = FleetBudget::new(rule());
    take_all(&mut budget, 9);

    assert!(budget.take_retry(START, &ServiceName::from("plain"), 9));
}

#[test]
fn three_crashed_targets_make_a_request_poison_and_a_response_clears_it() {
    let mut crashes = CrashTracker::default();
    for target in ["i-1", "i-2", "i-3"] {
        crashes.record_crash(START, &crash(7, target));
    }
    crashes.record_crash(START, &crash(8, "i-1"));

    assert!(crashes.is_poison(START, 7));
    assert!(!crashes.is_poison(START, 8));
    crashes.record_served(START, 7);
    assert!(!crashes.is_poison(START, 7));
}

/// Guards against a popular request that is refused for a minute because one target that lost power failed
/// three equal requests at the same time.
#[test]
fn one_target_that_fails_many_equal_requests_makes_no_poison() {
    let mut crashes = CrashTracker::default();

    for _ in 0..10 {
        crashes.record_crash(START, &crash(7, "i-1"));
    }

    assert!(!crashes.is_poison(START, 7));
}

/// Guards against a popular request that is refused for good: three targets lost power while they ran it,
/// and as no target gets it any more, none can show that it is harmless.
#[test]
fn poison_is_tried_again_after_a_while_and_later_each_time() {
    let mut crashes = CrashTracker::default();
    for target in ["i-1", "i-2", "i-3"] {
        crashes.record_crash(START, &crash(7, target));
    }

    assert!(crashes.is_poison(START + 19_000, 7));
    assert!(!crashes.is_poison(START + 21_000, 7));
    crashes.record_crash(START + 21_000, &crash(7, "i-4"));
    assert!(crashes.is_poison(START + 60_000, 7));
    assert!(!crashes.is_poison(START + 62_000, 7));
}

#[test]
fn crashes_expire() {
    let mut crashes = CrashTracker::default();
    crashes.record_crash(START, &crash(7, "i-1"));
    crashes.record_crash(START, &crash(7, "i-2"));

    crashes.evict_expired(START + 61_000);
    crashes.record_crash(START + 61_000, &crash(7, "i-3"));

    assert!(!crashes.is_poison(START + 61_000, 7));
}

/// Guards against a request that crashes the same engine again and again: the engine restarts under its
/// name each time and would count as one target.
#[test]
fn each_run_that_a_request_crashes_counts() {
    let mut crashes = CrashTracker::default();

    for started_at_ms in 1..=3 {
        let run = TargetEntry::run_id("e-1", Some(started_at_ms));
        crashes.record_crash(START, &crash(7, &run));
    }

    assert!(crashes.is_poison(START, 7));
}

/// Guards against memory that grows with each crafted request, and against poison that is forgotten for such ones.
#[test]
fn requests_that_fail_once_do_not_displace_poison() {
    let mut crashes = CrashTracker::default();
    for target in ["i-1", "i-2", "i-3"] {
        crashes.record_crash(START, &crash(7, target));
    }

    for fingerprint in 100..10_000 {
        crashes.record_crash(START + fingerprint, &crash(fingerprint, "i-1"));
    }

    let remembered = (100..10_000).filter(|one| crashes.record_served(START + 10_000, *one));
    assert!(remembered.count() < 5_000);
    assert!(crashes.is_poison(START + 10_000, 7));
}

/// Guards against a statement without effect at instances that know as many crashes, but not their order.
#[test]
fn a_statement_counts_though_as_many_crashes_are_known() {
    let mut crashes = CrashTracker::default();
    for target in ["i-1", "i-2", "i-3"] {
        let at_once = Crash {
            ran_ms: 100,
            ..crash(7, target)
        };
        crashes.record_crash(START, &at_once);
    }
    let stated = Condemnation {
        fingerprint: 7,
        targets: 3,
        age_ms: 10,
        span_ms: 0,
    };

    let before = crashes.is_poison(START, 7);
    let is_news = crashes.apply_condemnation(START, &stated);
    let is_news_again = crashes.apply_condemnation(START, &stated);

    assert_eq!((before, is_news, is_news_again), (false, true, false));
    assert!(crashes.is_poison(START, 7));
}

/// Guards against a request that stays refused since an instance which hasn't heard that it was served says so again.
#[test]
fn a_statement_from_before_a_request_was_served_has_no_effect() {
    let mut crashes = CrashTracker::default();
    crashes.record_crash(START, &crash(7, "i-1"));
    crashes.record_served(START + 2_000, 7);
    let stated = |age_ms| Condemnation {
        fingerprint: 7,
        targets: 3,
        age_ms,
        span_ms: 0,
    };

    let is_news = crashes.apply_condemnation(START + 3_000, &stated(1_500));
    let is_news_later = crashes.apply_condemnation(START + 3_000, &stated(500));

    assert_eq!((is_news, is_news_later), (false, true));
}

/// Guards against refusals for too many retries, of which none was sent since no target could be reached.
#[test]
fn a_retry_that_was_not_sent_does_not_use_up_the_budget() {
    let mut budget = FleetBudget::new(rule());

    for _ in 0..10_000 {
        assert!(budget.take_retry(START, &service(), 9));
        budget.return_retry(START + 5, &service());
    }

    assert!(take_all(&mut budget, 9) > 1);
}
