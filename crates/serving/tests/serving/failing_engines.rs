//! Engines that fail prompts while they are published as ready.

use {
    super::fixture::{START, instance, job, place, placed},
    whinlatch_core::MonoMs,
    whinlatch_serving::{Serving, fleet::Frame},
};

/// Sends a prompt, which its engine fails if `fails` returns true for it. Returns whether it failed.
fn send(serving: &mut Serving, now: MonoMs, fails: impl Fn(&str) -> bool) -> bool {
    let placed = place(serving, now, 5_000).unwrap();
    let has_failed = fails(&placed.engine.id);
    if has_failed {
        serving.record_prompt_failure(now + 1, placed.job);
    } else {
        serving.record_first_event(now + 90, placed.job);
    }
    serving.record_prompt_ended(placed.job);
    has_failed
}

/// Guards against one reply in twenty that fails for seconds: an engine that reports that it is healthy resets
/// all connections. It is always idle, so it looks like the best choice for each prompt.
#[test]
fn an_engine_that_fails_all_prompts_gets_few() {
    let mut serving = instance(1, 6);
    let first = place(&mut serving, START, 5_000).unwrap();
    serving.record_prompt_ended(first.job);

    let failed = (1..=100)
        .filter(|number| {
            let now = START + 20 * number;
            send(&mut serving, now, |id| *id == *first.engine.id)
        })
        .count();

    assert!((1..=4).contains(&failed), "{failed}");
}

/// Guards against an engine that failed for a moment and gets no prompts any more though it has recovered.
#[test]
fn an_engine_that_recovered_gets_prompts_again() {
    let mut serving = instance(1, 2);
    let is_first = |id: &str| id == "e-00";
    for number in 0..40 {
        send(&mut serving, START + 20 * number, is_first);
    }
    let later = START + 15_000;

    // No prompt ends, so one engine alone doesn't have enough slots for all of them.
    let placed: Vec<_> = (0..20)
        .map(|number| place(&mut serving, later + 20 * number, 1_000).unwrap())
        .collect();

    assert!(
        placed
            .iter()
            .any(|placement| is_first(&placement.engine.id))
    );
}

/// Guards against prompts that are refused because connections to all engines were reset at the same time:
/// each engine has failed some prompts, and none is worse than the others.
#[test]
fn prompts_are_placed_where_all_engines_failed_some() {
    let mut serving = instance(1, 4);
    for number in 0..40 {
        send(&mut serving, START + number, |_id| true);
    }

    let placed = place(&mut serving, START + 50, 5_000);

    assert!(placed.is_ok(), "{placed:?}");
}

/// In a small fleet each instance chooses engines itself, so an instance reports the failures that it sees.
#[test]
fn a_failure_is_reported_to_peers() {
    let mut reporter = instance(1, 6);
    let failing = place(&mut reporter, START, 5_000).unwrap();

    reporter.record_prompt_failure(START + 1, failing.job);
    let news = reporter.take_news();

    assert!(
        news.iter()
            .any(|(_to, frame)| frame.failed == [failing.job])
    );
}

#[test]
fn an_engine_that_failed_a_peer_is_not_chosen_first() {
    let preferred = place(&mut instance(2, 6), START, 5_000).unwrap().engine.id;
    let mut serving = instance(2, 6);
    let frame = Frame {
        placed: vec![placed(1, &preferred, 5_000)],
        failed: vec![job(1)],
        ended: vec![job(1)],
        ..Frame::default()
    };

    serving.on_frame(START, 1, frame, |_text| None);
    let chosen = place(&mut serving, START + 10, 5_000).unwrap();

    assert_ne!(chosen.engine.id, preferred);
}
