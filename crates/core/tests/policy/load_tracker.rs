use {
    crate::fleet_fixture::{daemon, engine, idle},
    whinlatch_core::{
        MonoMs,
        fleet::{LoadTracker, SentPrompt},
        routing::Weight,
    },
    whinlatch_wire::{ids::AttemptId, peer::TargetLoad},
};

const TOKEN_MS: f64 = 0.025;

fn sent_prompt(attempt: u128, sent_at: MonoMs, read_ms: f64, weight: Weight) -> SentPrompt {
    SentPrompt {
        attempt: AttemptId(attempt),
        sent_at,
        wait_ms: 0.0,
        tokens: 1_000,
        engines: 1,
        read_ms,
        is_helper: false,
        memory_tokens: 1_000,
        weight,
        is_sample: true,
    }
}

fn peer_load(number: u64, prefill_left_ms: u64, long_left_ms: u64) -> TargetLoad {
    TargetLoad {
        origin: daemon(1),
        number,
        target: engine(0),
        in_flight: 1,
        prefill_left_ms,
        long_left_ms,
        helping_ms: 0,
        claimed_ms: 0,
        claim_age_ms: 0,
    }
}

#[test]
fn prompts_sent_since_are_added_to_a_lagging_report() {
    let mut tracker = LoadTracker::default();
    let mut report = idle(0);
    report.prefill_tokens_left = 4_000;
    tracker.apply_report(MonoMs(1_000), &report, TOKEN_MS);

    tracker.record_sent(sent_prompt(1, MonoMs(1_010), 50.0, Weight::Light));

    let left = tracker.remaining(MonoMs(1_020));
    assert!(
        (left.light_ms - (100.0 - 20.0 + 50.0)).abs() < 1e-9,
        "{left:?}"
    );
    assert_eq!(tracker.free_tokens(), idle(0).memory_total_tokens - 1_000);
}

#[test]
fn a_report_does_not_hide_prompts_sent_just_before_it() {
    let mut tracker = LoadTracker::default();
    tracker.record_sent(sent_prompt(1, MonoMs(900), 50.0, Weight::Light));

    tracker.apply_report(MonoMs(1_000), &idle(0), TOKEN_MS);

    assert!(tracker.remaining(MonoMs(1_000)).light_ms >= 50.0);
}

#[test]
fn long_work_shrinks_over_time_and_ends_with_its_first_token() {
    let mut tracker = LoadTracker::default();
    tracker.record_sent(sent_prompt(1, MonoMs(0), 10_000.0, Weight::Long));

    let halfway = tracker.remaining(MonoMs(5_000)).long_ms;
    let overdue = tracker.remaining(MonoMs(20_000)).long_ms;
    tracker.remove(AttemptId(1));

    assert!((halfway - 5_000.0).abs() < 1e-9);
    assert!(overdue > 0.0, "an overdue prompt still delays others");
    assert!(tracker.remaining(MonoMs(20_000)).long_ms.abs() < 1e-9);
}

#[test]
fn an_older_load_of_a_peer_is_ignored_however_late_it_comes() {
    // Guards against an idle engine that gets no long prompts: a peer reports a prompt and later its
    // end, then a third daemon passes on the first report again, and the old copy is applied.
    let mut tracker = LoadTracker::default();
    assert!(tracker.apply_peer_load(MonoMs(0), &peer_load(1, 9_000, 8_000)));
    assert!((tracker.remaining(MonoMs(0)).long_ms - 8_000.0).abs() < 1e-9);
    assert!((tracker.remaining(MonoMs(0)).medium_ms - 1_000.0).abs() < 1e-9);

    let newer = tracker.apply_peer_load(MonoMs(100), &peer_load(2, 0, 0));
    let again = tracker.apply_peer_load(MonoMs(60_000), &peer_load(1, 9_000, 8_000));

    assert!(newer);
    assert!(!again);
    assert!(tracker.remaining(MonoMs(60_000)).long_ms.abs() < 1e-9);
}

#[test]
fn a_prompt_that_shared_the_target_is_no_sample() {
    let mut tracker = LoadTracker::default();
    tracker.record_sent(sent_prompt(1, MonoMs(0), 100.0, Weight::Light));
    assert!(tracker.sample(MonoMs(100), AttemptId(1)).is_some());

    tracker.record_sent(sent_prompt(2, MonoMs(10), 80.0, Weight::Light));

    assert!(tracker.sample(MonoMs(200), AttemptId(1)).is_none());
}
