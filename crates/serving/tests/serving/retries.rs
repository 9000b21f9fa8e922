//! Repeats, and requests that break what runs them.

use {
    super::fixture::{START, rule},
    whinlatch_serving::{
        fleet::Crash,
        names::ServiceName,
        retries::{CrashBook, Fingerprint, FleetBudget},
        targets::TargetEntry,
    },
};

fn crash(fingerprint: Fingerprint, target: &str) -> Crash {
    Crash {
        fingerprint,
        target: target.into(),
    }
}

fn service() -> ServiceName {
    ServiceName::from("engines")
}

/// Takes as many repeats as the budget gives.
fn take_all(budget: &mut FleetBudget, instances: usize) -> u32 {
    (0..10_000)
        .take_while(|_| budget.take(START, &service(), instances))
        .count() as u32
}

/// Targets that are in trouble get several times their load: each instance repeats within a budget
/// that only counts its own.
#[test]
fn the_shares_of_all_instances_keep_the_fleets_budget() {
    let instances = 9;
    let firsts = 50;

    let taken: u32 = (0..instances)
        .map(|_| {
            let mut budget = FleetBudget::new(rule());
            for _ in 0..firsts {
                budget.first(START, &service());
            }
            take_all(&mut budget, instances)
        })
        .sum();

    let allowed = 0.2 * f64::from(firsts) * instances as f64 + 100.0;
    assert!(f64::from(taken) <= allowed, "{taken} of {allowed}");
    assert!(f64::from(taken) >= 0.4 * allowed, "{taken} of {allowed}");
}

#[test]
fn repeats_come_back_with_the_window() {
    let mut budget = FleetBudget::new(rule());
    let first = take_all(&mut budget, 9);

    let soon = budget.take(START + 9_000, &service(), 9);
    let later = budget.take(START + 10_600, &service(), 9);

    assert!(first > 0);
    assert!(!soon);
    assert!(later);
}

#[test]
fn one_services_repeats_use_nothing_of_anothers() {
    let mut budget = FleetBudget::new(rule());
    take_all(&mut budget, 9);

    assert!(budget.take(START, &ServiceName::from("plain"), 9));
}

#[test]
fn three_broken_targets_make_a_request_poison_and_an_answer_clears_it() {
    let mut crashes = CrashBook::default();
    for target in ["i-1", "i-2", "i-3"] {
        crashes.note(START, &crash(7, target));
    }
    crashes.note(START, &crash(8, "i-1"));

    assert!(crashes.is_poison(START, 7));
    assert!(!crashes.is_poison(START, 8));
    crashes.served(7);
    assert!(!crashes.is_poison(START, 7));
}

/// All callers of a popular listing are refused for a minute: one target that lost power broke off
/// three of their requests at once, which are all alike.
#[test]
fn one_target_that_breaks_off_many_alike_makes_no_poison() {
    let mut crashes = CrashBook::default();

    for _ in 0..10 {
        crashes.note(START, &crash(7, "i-1"));
    }

    assert!(!crashes.is_poison(START, 7));
}

/// A popular listing is refused for good: three targets lost power with it at work, and since it is
/// sent to no target any more, none can show that it does no harm.
#[test]
fn poison_is_tried_again_after_a_while_and_later_each_time() {
    let mut crashes = CrashBook::default();
    for target in ["i-1", "i-2", "i-3"] {
        crashes.note(START, &crash(7, target));
    }

    assert!(crashes.is_poison(START + 19_000, 7));
    assert!(!crashes.is_poison(START + 21_000, 7));
    crashes.note(START + 21_000, &crash(7, "i-4"));
    assert!(crashes.is_poison(START + 60_000, 7));
    assert!(!crashes.is_poison(START + 62_000, 7));
}

#[test]
fn breaks_are_forgotten() {
    let mut crashes = CrashBook::default();
    crashes.note(START, &crash(7, "i-1"));
    crashes.note(START, &crash(7, "i-2"));

    crashes.forget_old(START + 61_000);
    crashes.note(START + 61_000, &crash(7, "i-3"));

    assert!(!crashes.is_poison(START + 61_000, 7));
}

/// A request crashes the same engine again and again: it starts again under its name each time, and
/// counted as one target.
#[test]
fn each_run_that_a_request_breaks_counts() {
    let mut book = CrashBook::default();

    for started_at_ms in 1..=3 {
        let run = TargetEntry::run_id("e-1", Some(started_at_ms));
        book.note(START, &crash(7, &run));
    }

    assert!(book.is_poison(START, 7));
}
