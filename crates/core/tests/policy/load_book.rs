use {
    crate::fleet_fixture::{daemon, engine, idle},
    whinlatch_core::{
        MonoMs,
        fleet::{Job, LoadBook},
        routing::Weight,
    },
    whinlatch_wire::{ids::AttemptId, peer::TargetLoad},
};

const TOKEN_MS: f64 = 0.025;

fn job(attempt: u128, sent: MonoMs, read_ms: f64, weight: Weight) -> Job {
    Job {
        attempt: AttemptId(attempt),
        sent,
        wait_ms: 0.0,
        tokens: 1_000,
        engines: 1,
        read_ms,
        memory_tokens: 1_000,
        weight,
        clean: true,
    }
}

fn word(number: u64, prefill_left_ms: u64, long_left_ms: u64) -> TargetLoad {
    TargetLoad {
        origin: daemon(1),
        number,
        target: engine(0),
        in_flight: 1,
        prefill_left_ms,
        long_left_ms,
        claimed_ms: 0,
        claim_age_ms: 0,
    }
}

#[test]
fn what_was_sent_since_is_added_to_a_lagging_report() {
    let mut book = LoadBook::default();
    let mut report = idle(0);
    report.prefill_tokens_left = 4_000;
    book.reported(MonoMs(1_000), &report, TOKEN_MS);

    book.sent(job(1, MonoMs(1_010), 50.0, Weight::Light));

    let left = book.left(MonoMs(1_020));
    assert!(
        (left.light_ms - (100.0 - 20.0 + 50.0)).abs() < 1e-9,
        "{left:?}"
    );
    assert_eq!(book.free_tokens(), idle(0).memory_total_tokens - 1_000);
}

#[test]
fn a_report_that_may_be_older_than_what_was_sent_does_not_hide_it() {
    let mut book = LoadBook::default();
    book.sent(job(1, MonoMs(900), 50.0, Weight::Light));

    book.reported(MonoMs(1_000), &idle(0), TOKEN_MS);

    assert!(book.left(MonoMs(1_000)).light_ms >= 50.0);
}

#[test]
fn long_work_shrinks_as_time_goes_on_and_ends_with_its_first_token() {
    let mut book = LoadBook::default();
    book.sent(job(1, MonoMs(0), 10_000.0, Weight::Long));

    let halfway = book.left(MonoMs(5_000)).long_ms;
    let overdue = book.left(MonoMs(20_000)).long_ms;
    book.ended(AttemptId(1));

    assert!((halfway - 5_000.0).abs() < 1e-9);
    assert!(overdue > 0.0, "an overdue prompt still holds others up");
    assert!(book.left(MonoMs(20_000)).long_ms.abs() < 1e-9);
}

#[test]
fn a_peers_older_word_is_no_news_however_late_it_comes() {
    // What a user would see: an engine that is free gets no long prompts.
    // A peer says that it sent one and later that it ended; a third daemon passes the first word on
    // again. Cause: copies that are believed though a newer word was heard.
    let mut book = LoadBook::default();
    assert!(book.peer_says(MonoMs(0), &word(1, 9_000, 8_000)));
    assert!((book.left(MonoMs(0)).long_ms - 8_000.0).abs() < 1e-9);
    assert!((book.left(MonoMs(0)).medium_ms - 1_000.0).abs() < 1e-9);

    let newer = book.peer_says(MonoMs(100), &word(2, 0, 0));
    let again = book.peer_says(MonoMs(60_000), &word(1, 9_000, 8_000));

    assert!(newer);
    assert!(!again);
    assert!(book.left(MonoMs(60_000)).long_ms.abs() < 1e-9);
}

#[test]
fn a_prompt_that_shared_the_target_teaches_nothing() {
    let mut book = LoadBook::default();
    book.sent(job(1, MonoMs(0), 100.0, Weight::Light));
    assert!(book.sample(MonoMs(100), AttemptId(1)).is_some());

    book.sent(job(2, MonoMs(10), 80.0, Weight::Light));

    assert!(book.sample(MonoMs(200), AttemptId(1)).is_none());
}
