//! What an engine is expected to do, against what engines were seen to do.

use {
    super::fixture::{GROUP, START, job, placed, spec},
    whinlatch_core::MonoMs,
    whinlatch_serving::{engines::EngineLoads, names::TargetId},
};

fn engine() -> TargetId {
    TargetId::from("e-1")
}

/// An engine that writes a stream since `START`, at which a pass begins.
fn writing_engine() -> EngineLoads {
    let mut loads = EngineLoads::default();
    loads.placed(START, &spec(), GROUP, placed(1, "e-1", 5_000));
    loads.begun(START, &spec(), job(1));
    loads.event_seen(START, &spec(), &engine());
    loads
}

#[test]
fn an_idle_engine_reads_at_once() {
    let mut loads = EngineLoads::default();
    loads.placed(START, &spec(), GROUP, placed(1, "e-1", 15_400));

    let before = loads.engine(START, &spec(), &engine()).total_ms();
    let half = loads.engine(START + 60, &spec(), &engine()).total_ms();
    let after = loads.engine(START + 200, &spec(), &engine()).total_ms();

    assert!((before - 130.0).abs() < 5.0, "{before}");
    assert!((half - 70.0).abs() < 5.0, "{half}");
    assert!(after.abs() < f64::EPSILON, "{after}");
}

/// A reply starts two passes late: a prompt that comes while a pass runs waits for its end, and is
/// read in the next one together with all others that wait.
#[test]
fn a_prompt_that_comes_within_a_pass_is_read_in_the_next() {
    let mut loads = writing_engine();
    loads.placed(START + 10, &spec(), GROUP, placed(2, "e-1", 15_400));

    let engine_load = loads.engine(START + 40, &spec(), &engine());
    let waiting_ms = engine_load.total_ms();
    let left_ms = engine_load.pass_left_ms(START + 40);
    let next = loads.engine(START + 50, &spec(), &engine());
    let next_left_ms = next.pass_left_ms(START + 50);

    assert!(waiting_ms > 100.0);
    assert!((left_ms - 5.0).abs() < 1.0, "{left_ms}");
    assert!((next_left_ms - 171.0).abs() < 6.0, "{next_left_ms}");
    assert!(next.total_ms().abs() < f64::EPSILON);
}

/// Sixteen streams are taken for twelve, and the next prompts wait for seconds: prompts were
/// counted nowhere between the moment at which they should begin and the news that they did.
#[test]
fn a_prompt_keeps_its_slot_until_its_first_event_is_told() {
    let mut loads = writing_engine();
    loads.placed(START + 10, &spec(), GROUP, placed(2, "e-1", 2_000));

    let running = loads.engine(START + 5_000, &spec(), &engine()).running();

    assert_eq!(running, 2);
}

/// The prediction drifts from what the engine does: passes end a little later than computed.
#[test]
fn an_event_tells_when_a_pass_ends() {
    let mut loads = writing_engine();
    loads.engine(START + 44, &spec(), &engine());

    loads.event_seen(START + 52, &spec(), &engine());

    let left_ms = loads
        .engine(START + 52, &spec(), &engine())
        .pass_left_ms(START + 52);
    assert!((left_ms - 45.0).abs() < 2.0, "{left_ms}");
}

#[test]
fn the_events_of_one_pass_end_it_once() {
    let mut loads = writing_engine();
    loads.event_seen(START + 45, &spec(), &engine());

    loads.event_seen(START + 47, &spec(), &engine());

    let left_ms = loads
        .engine(START + 47, &spec(), &engine())
        .pass_left_ms(START + 47);
    assert!((left_ms - 43.0).abs() < 2.0, "{left_ms}");
}

/// A stream pauses for three seconds, and nothing predicted it: a pass is full by tokens, and the
/// pairs of long prompts make its time longer than its tokens do.
#[test]
fn a_pass_is_full_by_tokens_and_not_by_time() {
    let mut loads = writing_engine();
    loads.placed(START + 1, &spec(), GROUP, placed(2, "e-1", 200_000));

    let engine_load = loads.engine(START + 46, &spec(), &engine());

    let pass_ms = engine_load.pass_left_ms(START + 46);
    let read_share = 69_632.0 / 200_000.0;
    let expected_ms = spec().read_ms(200_000) * read_share;
    assert!((pass_ms - expected_ms).abs() < 120.0, "{pass_ms}");
}

#[test]
fn what_helpers_read_goes_first() {
    let mut loads = EngineLoads::default();
    loads.placed(START, &spec(), GROUP, placed(1, "e-1", 15_400));
    let mut shared = placed(2, "e-2", 30_800);
    shared.engines.push(engine());
    loads.placed(START, &spec(), GROUP, shared);

    let parts = loads.engine(START + 50, &spec(), &engine()).parts.clone();

    let left = |is_helper: bool| {
        let part = parts.iter().find(|part| part.is_helper == is_helper);
        part.map_or(0.0, |part| part.left_ms)
    };
    // 200 ms of tokens and 77 ms of pairs, shared by two engines, 50 ms ago.
    assert!((left(true) - 95.0).abs() < 15.0, "{}", left(true));
    assert!(left(false) > 100.0);
}

#[test]
fn what_is_over_leaves_nothing() {
    let mut loads = writing_engine();
    loads.placed(START + 1, &spec(), GROUP, placed(2, "e-1", 50_000));

    loads.ended(job(1));
    loads.ended(job(2));
    loads.ended(job(2));

    let engine_load = loads.engine(START + 2, &spec(), &engine());
    assert_eq!((engine_load.running(), engine_load.memory_tokens), (0, 0));
    assert!(engine_load.total_ms().abs() < f64::EPSILON);
}

#[test]
fn a_prompt_whose_end_was_never_told_is_forgotten() {
    let mut loads = writing_engine();

    loads.forget_old(MonoMs(START.0 + 31_000), |_| true);

    assert_eq!(loads.engine(START, &spec(), &engine()).running(), 0);
}

/// Replies come four times too late for as long as an engine is slow: each prompt is placed by the
/// published timing.
#[test]
fn passes_that_are_all_longer_tell_that_an_engine_is_slow() {
    let mut loads = writing_engine();

    let paces: Vec<Option<f64>> = (1..=4)
        .map(|pass| loads.event_seen(START + 180 * pass, &spec(), &engine()))
        .collect();

    assert_eq!(paces[..3], [None, None, None]);
    let pace = paces[3].unwrap();
    assert!((pace - 4.0).abs() < 0.2, "{pace}");
}

/// One pass takes in a prompt of another instance of which no news has come yet: that says nothing
/// of the engine.
#[test]
fn one_long_pass_is_no_slow_engine() {
    let mut loads = writing_engine();

    let moments = [45, 290, 335, 380];
    let paces = moments.map(|at| loads.event_seen(START + at, &spec(), &engine()));

    assert_eq!(paces, [None; 4]);
}

#[test]
fn a_mended_engine_is_as_fast_as_published() {
    let mut loads = writing_engine();
    assert!(loads.paced(START, &spec(), &engine(), 4.0));

    let is_news = loads.paced(START + 1, &spec(), &engine(), 1.0);

    assert!(is_news);
    assert!(!loads.paced(START + 2, &spec(), &engine(), 1.1));
}

/// The first audit of a burst begins when all others have: an engine reads what it helps with in
/// the order in which it came, the last first.
#[test]
fn the_newest_of_what_goes_first_is_read_before_the_others() {
    let mut loads = EngineLoads::default();
    for number in 1..=2 {
        let mut shared = placed(number, "e-9", 30_800);
        shared.engines.push(engine());
        loads.placed(START, &spec(), GROUP, shared);
    }

    let engine_load = loads.engine(START + 50, &spec(), &engine());

    let left: Vec<f64> = engine_load.parts.iter().map(|part| part.left_ms).collect();
    assert!(left[0] > left[1] + 40.0, "{left:?}");
    assert!(engine_load.ends_in_ms(0) > engine_load.ends_in_ms(1) + 100.0);
}

/// A caller with a long prompt is told that the engines are too busy though they are idle: the engine
/// that was to answer named one that has died, and the reading that nobody did counted as given.
#[test]
fn what_no_engine_reads_counts_as_given_to_none() {
    let mut loads = EngineLoads::default();
    loads.placed(START, &spec(), GROUP, placed(1, "e-0", 300_000));
    let given = loads.used(START, GROUP, 4);

    loads.ended(job(1));

    assert!(given > 0.3, "{given}");
    assert!(loads.used(START, GROUP, 4) < 0.001);
}

#[test]
fn what_was_read_before_a_prompt_ended_was_given() {
    let mut loads = EngineLoads::default();
    loads.placed(START, &spec(), GROUP, placed(1, "e-0", 300_000));
    let given = loads.used(START, GROUP, 4);

    let half_ms = spec().read_ms(300_000) as u64 / 2;
    loads.advance(START + half_ms, &spec(), &["e-0".into()]);
    loads.ended(job(1));

    let left = loads.used(START, GROUP, 4);
    assert!(
        left > 0.4 * given && left < 0.6 * given,
        "{left} of {given}"
    );
}
