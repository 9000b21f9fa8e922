//! Histograms of answer times.

use {
    super::fixture::START,
    whinlatch_serving::calls::{AnswerTimes, BUCKETS},
};

/// Returns a histogram of nineteen answers in 40 ms and one in 900 ms.
fn mostly_fast() -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for _ in 0..19 {
        times.record(START, 40.0);
    }
    times.record(START, 900.0);
    times
}

#[test]
fn a_quantile_is_the_bound_of_the_bucket_that_holds_it() {
    let times = mostly_fast();

    let median_ms = times.quantile_ms(START, 0.5).unwrap();
    let slowest_ms = times.quantile_ms(START, 1.0).unwrap();

    assert!((40.0..60.0).contains(&median_ms), "{median_ms}");
    assert!((900.0..1_350.0).contains(&slowest_ms), "{slowest_ms}");
}

/// Guards against attempts that are judged by a handful of answers.
#[test]
fn too_few_answers_have_no_quantile() {
    let mut times = AnswerTimes::default();
    for _ in 0..7 {
        times.record(START, 40.0);
    }

    assert_eq!(times.quantile_ms(START, 0.5), None);
}

/// Guards against the times of targets that were replaced long ago.
#[test]
fn old_answers_fade() {
    let times = mostly_fast();

    assert!(times.quantile_ms(START + 10_000, 0.5).is_some());
    assert_eq!(times.quantile_ms(START + 60_000, 0.5), None);
}

/// Guards against a peer's bucket number that doesn't exist here.
#[test]
fn a_bucket_beyond_the_last_one_counts_as_the_last() {
    let mut times = AnswerTimes::default();

    times.add(START, usize::MAX, 20.0);

    assert!((times.weight(START) - 20.0).abs() < 1e-9);
    assert!(times.quantile_ms(START, 0.5).unwrap() > 1_000.0);
    assert_eq!(AnswerTimes::bucket_of(f64::MAX), BUCKETS - 1);
}

/// Guards against a target that answers so late that it has no time to compare, and counts as one that isn't known.
#[test]
fn answers_in_the_last_bucket_have_a_time() {
    let mut times = AnswerTimes::default();
    for _ in 0..20 {
        times.record(START, 2_000.0);
    }

    assert!(times.quantile_ms(START, 0.95).unwrap() > 1_000.0);
    assert!(times.median_ms(START).unwrap() > 900.0);
}
