//! Pauses of streams by prompts that are read on the same engine, under the loads that cause them.

use {
    super::fixture::{GROUP, START, candidate, job, placed, shape, spec},
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        engines::EngineLoads,
        fleet::PlacedPrompt,
        names::TargetId,
        placement::{Candidate, Choice, choose},
    },
};

/// Number of engines that read the audit; the first one answers.
const READERS: usize = 8;

fn engine_id(number: usize) -> TargetId {
    format!("e-{number:02}").into()
}

/// An audit whose first event is expected 3 s after `START` because one of its engines was slow; the
/// others have read their parts 2 s after `START`. Four further engines read short parts of other prompts.
fn audit_about_to_begin() -> EngineLoads {
    let mut loads = EngineLoads::default();
    let audit = PlacedPrompt {
        engines: (0..READERS).map(engine_id).collect(),
        pause_limit_ms: 1_000,
        slack_ms: 4_000,
        is_prioritized: true,
        first_event_ms: 3_000,
        ..placed(1, "e-00", 300_000)
    };
    loads.add_job(START, &spec(), GROUP, audit);
    let now = START + 2_500;
    for number in READERS..READERS + 4 {
        let reply = PlacedPrompt {
            first_event_ms: 300,
            ..placed(number as u64, &engine_id(number), 30_000)
        };
        loads.add_job(now, &spec(), GROUP, reply);
    }
    let all: Vec<TargetId> = (0..READERS + 4).map(engine_id).collect();
    loads.advance(now, &spec(), &all);
    loads
}

/// Chooses among the engine that is to answer the audit, index 0, and the four that read other prompts.
fn choose_with_audit(
    loads: &EngineLoads,
    now: MonoMs,
    prompt_tokens: u64,
    slack_ms: f64,
) -> Choice {
    let shape = shape(prompt_tokens, slack_ms);
    let candidates: Vec<Candidate<'_>> = std::iter::once(0)
        .chain(READERS..READERS + 4)
        .map(|number| candidate(loads, &engine_id(number)))
        .collect();
    choose(now, &spec(), &shape, &candidates).unwrap()
}

/// Guards against an audit that starts on time and pauses for two seconds. The engine that answers it had read
/// its part while others were still reading theirs, looked idle, and got a part of the next audit, which it
/// reads in the pass of the first one's second event.
#[test]
fn the_engine_that_is_about_to_answer_gets_no_long_part() {
    let loads = audit_about_to_begin();

    let choice = choose_with_audit(&loads, START + 2_500, 300_000, 3_500.0);

    assert!(!choice.engines.contains(&0), "{choice:?}");
}

/// Guards against a reply that waits behind others while the engine that is to answer an audit is left idle: a
/// part that is read before the audit's first event pauses no stream.
#[test]
fn the_engine_that_is_about_to_answer_gets_parts_that_it_can_read_before() {
    let loads = audit_about_to_begin();

    let choice = choose_with_audit(&loads, START + 2_500, 20_000, 300.0);

    assert!(choice.engines.contains(&0), "{choice:?}");
}

/// The first event of an audit may come a little late, and its report later still: a part that arrives in
/// the meantime is read in the pass of the second event.
#[test]
fn an_overdue_audit_may_start_at_any_moment() {
    let loads = audit_about_to_begin();

    let choice = choose_with_audit(&loads, START + 3_100, 300_000, 3_500.0);

    assert!(!choice.engines.contains(&0), "{choice:?}");
}

/// Guards against an audit that is expected after 2.8 s, on time, and starts after 4.7 s: two engines that
/// write replies read one half of it each, which takes two passes, and only one was predicted.
#[test]
fn a_part_that_fills_several_passes_takes_all_of_them() {
    let mut loads = EngineLoads::default();
    for number in 0..2 {
        loads.add_job(
            START,
            &spec(),
            GROUP,
            placed(number, &engine_id(number as usize), 1_000),
        );
        loads.record_first_event(START + 20, &spec(), job(number));
    }
    let engines: Vec<TargetId> = (0..2).map(engine_id).collect();
    loads.advance(START + 30, &spec(), &engines);
    let shape = shape(300_000, 10_000.0);
    let candidates: Vec<Candidate<'_>> = engines.iter().map(|id| candidate(&loads, id)).collect();

    let choice = choose(START + 30, &spec(), &shape, &candidates).unwrap();

    assert_eq!(choice.engines.len(), 2);
    let read_ms = spec().part_ms(300_000, 2);
    assert!(choice.first_event_ms > read_ms, "{}", choice.first_event_ms);
}
