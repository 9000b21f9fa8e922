//! The predicted load of an engine, compared with the observed behaviour of engines.

use {
    super::fixture::{GROUP, START, job, placed, spec},
    whinlatch_core::MonoMs,
    whinlatch_serving::{engines::EngineLoads, names::TargetId},
};

fn engine() -> TargetId {
    TargetId::from("e-1")
}

/// An engine that writes one stream, with a pass that starts at `START`.
fn writing_engine() -> EngineLoads {
    let mut loads = EngineLoads::default();
    loads.add_job(START, &spec(), GROUP, placed(1, "e-1", 5_000));
    loads.record_first_event(START, &spec(), job(1));
    loads.record_event(START, &spec(), &engine());
    loads
}

#[test]
fn an_idle_engine_reads_immediately() {
    let mut loads = EngineLoads::default();
    loads.add_job(START, &spec(), GROUP, placed(1, "e-1", 15_400));

    let before = loads.engine(START, &spec(), &engine()).total_ms();
    let half = loads.engine(START + 60, &spec(), &engine()).total_ms();
    let after = loads.engine(START + 200, &spec(), &engine()).total_ms();

    assert!((before - 130.0).abs() < 5.0, "{before}");
    assert!((half - 70.0).abs() < 5.0, "{half}");
    assert!(after.abs() < f64::EPSILON, "{after}");
}

/// Guards against a reply that starts two passes later than predicted: a prompt that arrives during a pass
/// waits for its end, and is read in the next pass together with all others that wait.
#[test]
fn a_prompt_that_arrives_during_a_pass_is_read_in_the_next() {
    let mut loads = writing_engine();
    loads.add_job(START + 10, &spec(), GROUP, placed(2, "e-1", 15_400));

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

/// Guards against an engine that gets more prompts than it has slots: sixteen streams counted as twelve, and
/// the next prompts waited for seconds, because prompts weren't counted between the predicted time of their
/// first event and its report.
#[test]
fn a_prompt_keeps_its_slot_until_its_first_event_is_reported() {
    let mut loads = writing_engine();
    loads.add_job(START + 10, &spec(), GROUP, placed(2, "e-1", 2_000));

    let running = loads.engine(START + 5_000, &spec(), &engine()).running();

    assert_eq!(running, 2);
}

/// Guards against a prediction that drifts, since passes end a little later than computed.
#[test]
fn an_event_corrects_the_end_of_a_pass() {
    let mut loads = writing_engine();
    loads.engine(START + 44, &spec(), &engine());

    loads.record_event(START + 52, &spec(), &engine());

    let left_ms = loads
        .engine(START + 52, &spec(), &engine())
        .pass_left_ms(START + 52);
    assert!((left_ms - 45.0).abs() < 2.0, "{left_ms}");
}

#[test]
fn the_events_of_one_pass_end_it_once() {
    let mut loads = writing_engine();
    loads.record_event(START + 45, &spec(), &engine());

    loads.record_event(START + 47, &spec(), &engine());

    let left_ms = loads
        .engine(START + 47, &spec(), &engine())
        .pass_left_ms(START + 47);
    assert!((left_ms - 43.0).abs() < 2.0, "{left_ms}");
}

/// Guards against a pause of three seconds that isn't predicted: the capacity of a pass is a number of
/// tokens, and attention over the token pairs of long prompts makes the pass longer than its tokens alone.
#[test]
fn the_capacity_of_a_pass_is_in_tokens_and_not_in_time() {
    let mut loads = writing_engine();
    loads.add_job(START + 1, &spec(), GROUP, placed(2, "e-1", 200_000));

    let engine_load = loads.engine(START + 46, &spec(), &engine());

    let pass_ms = engine_load.pass_left_ms(START + 46);
    let read_share = 69_632.0 / 200_000.0;
    let expected_ms = spec().read_ms(200_000) * read_share;
    assert!((pass_ms - expected_ms).abs() < 120.0, "{pass_ms}");
}

#[test]
fn parts_of_helpers_are_read_first() {
    let mut loads = EngineLoads::default();
    loads.add_job(START, &spec(), GROUP, placed(1, "e-1", 15_400));
    let mut shared = placed(2, "e-2", 30_800);
    shared.engines.push(engine());
    loads.add_job(START, &spec(), GROUP, shared);

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
fn prompts_that_are_over_leave_no_load() {
    let mut loads = writing_engine();
    loads.add_job(START + 1, &spec(), GROUP, placed(2, "e-1", 50_000));

    loads.remove_job(job(1));
    loads.remove_job(job(2));
    loads.remove_job(job(2));

    let engine_load = loads.engine(START + 2, &spec(), &engine());
    assert_eq!((engine_load.running(), engine_load.memory_tokens), (0, 0));
    assert!(engine_load.total_ms().abs() < f64::EPSILON);
}

#[test]
fn a_prompt_whose_end_was_never_reported_is_evicted() {
    let mut loads = writing_engine();

    loads.evict_expired(MonoMs(START.0 + 31_000), |_| true);

    assert_eq!(loads.engine(START, &spec(), &engine()).running(), 0);
}

/// Guards against replies that are four times too late while an engine is slow, because each prompt is placed
/// by the published timing.
#[test]
fn passes_that_are_all_longer_raise_the_pace() {
    let mut loads = writing_engine();

    let paces: Vec<Option<f64>> = (1..=4)
        .map(|pass| loads.record_event(START + 180 * pass, &spec(), &engine()))
        .collect();

    assert_eq!(paces[..3], [None, None, None]);
    let pace = paces[3].unwrap();
    assert!((pace - 4.0).abs() < 0.2, "{pace}");
}

/// A single long pass may have read a prompt of another instance that hasn't been reported yet. It doesn't
/// show that the engine is slow.
#[test]
fn one_long_pass_does_not_change_the_pace() {
    let mut loads = writing_engine();

    let moments = [45, 290, 335, 380];
    let paces = moments.map(|at| loads.record_event(START + at, &spec(), &engine()));

    assert_eq!(paces, [None; 4]);
}

#[test]
fn a_recovered_engine_returns_to_the_published_pace() {
    let mut loads = writing_engine();
    assert!(loads.apply_pace(START, &spec(), &engine(), 4.0));

    let is_news = loads.apply_pace(START + 1, &spec(), &engine(), 1.0);

    assert!(is_news);
    assert!(!loads.apply_pace(START + 2, &spec(), &engine(), 1.1));
}

/// An engine reads the parts that it helps with newest first, so that the first audit of a burst starts after
/// all others.
#[test]
fn the_newest_prioritized_part_is_read_before_the_others() {
    let mut loads = EngineLoads::default();
    for number in 1..=2 {
        let mut shared = placed(number, "e-9", 30_800);
        shared.engines.push(engine());
        loads.add_job(START, &spec(), GROUP, shared);
    }

    let engine_load = loads.engine(START + 50, &spec(), &engine());

    let left: Vec<f64> = engine_load.parts.iter().map(|part| part.left_ms).collect();
    assert!(left[0] > left[1] + 40.0, "{left:?}");
    assert!(engine_load.ends_in_ms(0) > engine_load.ends_in_ms(1) + 100.0);
}

/// Guards against a long prompt that is refused as overload though the engines are idle: the engine that was
/// to answer an earlier attempt reported a crashed helper, and the reading that was never done still counted
/// as assigned.
#[test]
fn reading_that_is_never_done_does_not_count_as_assigned() {
    let mut loads = EngineLoads::default();
    loads.add_job(START, &spec(), GROUP, placed(1, "e-0", 300_000));
    let assigned = loads.utilization(START, GROUP, 4);

    loads.remove_job(job(1));

    assert!(assigned > 0.3, "{assigned}");
    assert!(loads.utilization(START, GROUP, 4) < 0.001);
}

#[test]
fn reading_done_before_a_prompt_ended_counts_as_assigned() {
    let mut loads = EngineLoads::default();
    loads.add_job(START, &spec(), GROUP, placed(1, "e-0", 300_000));
    let assigned = loads.utilization(START, GROUP, 4);

    let half_ms = spec().read_ms(300_000) as u64 / 2;
    loads.advance(START + half_ms, &spec(), &["e-0".into()]);
    loads.remove_job(job(1));

    let left = loads.utilization(START, GROUP, 4);
    assert!(
        left > 0.4 * assigned && left < 0.6 * assigned,
        "{left} of {assigned}"
    );
}
