//! Placement of prompts under the loads that it is designed for.

use {
    super::fixture::{
        GROUP, START, candidate, engine_entry, instance, place, placed, prompt_request, run_change,
        shape, spec,
    },
    std::collections::{HashMap, HashSet},
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        PromptRequest, Refusal, Serving,
        engines::{EngineLoads, Occupancy},
        fleet::{Frame, JobId, PlacedPrompt},
        mechanism::{DisabledMechanisms, Mechanism},
        names::TargetId,
        placement::{Candidate, PromptShape, choose, value_of, work_loss},
        targets::TargetState,
    },
};

/// Short streams are packed on few engines while they are on time, so that the other engines are free for
/// long prompts, whose parts would pause short streams for too long.
#[test]
fn short_streams_share_engines() {
    let mut serving = instance(1, 21);
    let mut engines = HashMap::new();

    for number in 0..40 {
        let now = START + 100 * number;
        let placed = place(&mut serving, now, 5_000).unwrap();
        serving.record_first_event(now + 90, placed.job);
        *engines.entry(placed.engine.id.to_string()).or_insert(0) += 1;
    }

    assert!(engines.len() <= 5, "{engines:?}");
    assert!(engines.values().all(|count| *count <= 15), "{engines:?}");
}

#[test]
fn a_long_prompt_is_read_on_engines_without_short_streams() {
    let mut serving = instance(1, 21);
    let mut short = HashSet::new();
    for _ in 0..8 {
        let placed = place(&mut serving, START, 5_000).unwrap();
        serving.record_first_event(START + 90, placed.job);
        short.insert(placed.engine.id);
    }

    let long = place(&mut serving, START + 100, 180_000).unwrap();

    assert!(!short.contains(&long.engine.id));
    assert!(
        long.helpers
            .iter()
            .all(|helper| !short.contains(&helper.id))
    );
    assert!(long.helpers.len() >= 3);
    assert!(long.first_event_ms < 2_000.0);
}

/// In a burst of long prompts each is placed on time while the engines have capacity; those that would
/// only make others late are then refused immediately.
#[test]
fn a_burst_of_long_prompts_is_refused_beyond_the_engines_capacity() {
    let mut serving = instance(1, 21);

    let placed: Vec<Result<_, Refusal>> = (0..40)
        .map(|number| place(&mut serving, START + 20 * number, 250_000))
        .collect();

    let served = placed.iter().filter(|placed| placed.is_ok()).count();
    let first_refused = placed.iter().position(Result::is_err).unwrap();
    assert!(served >= 6, "{served}");
    assert!(first_refused >= 4, "{first_refused}");
    let Err(Refusal::Overloaded { retry_after_ms, .. }) = &placed[first_refused] else {
        panic!("an overload is refused as one");
    };
    assert!((250..10_000).contains(retry_after_ms));
}

/// On nearly saturated engines, a prompt that takes all of them for seconds is refused and a small one isn't.
#[test]
fn work_costs_more_at_higher_utilization() {
    let small = work_loss(&spec(), 5_000, 0.9);
    let half_used = work_loss(&spec(), 600_000, 0.5);
    let saturated = work_loss(&spec(), 600_000, 0.9);

    let value = value_of(600_000);
    assert!(small < 0.5 * value_of(5_000));
    assert!(half_used < value);
    assert!(saturated > 4.0 * value);
}

/// Guards against a first engine of the list that gets all requests, when all instances start without links
/// to each other and all callers return at the same time.
#[test]
fn instances_that_know_nothing_of_each_other_choose_different_engines() {
    let engines: HashSet<String> = (1..=9)
        .map(|run| place(&mut instance(run, 21), START, 5_000).unwrap())
        .map(|placed| placed.engine.id.to_string())
        .collect();

    assert!(engines.len() >= 6, "{engines:?}");
}

#[test]
fn a_prompt_beyond_an_engines_memory_gets_memory_at_helpers() {
    let mut serving = instance(1, 21);

    let placed = place(&mut serving, START, 600_000).unwrap();

    let reserved = placed.reserved.unwrap();
    assert!(reserved.engines <= placed.helpers.len());
    let held = reserved.tokens * reserved.engines as u64;
    assert!(held >= 601_300, "{held}");
    assert!(reserved.tokens <= spec().memory_tokens / 2);
}

#[test]
fn without_enough_engines_a_prompt_beyond_memory_is_refused() {
    let mut serving = instance(1, 3);

    assert!(matches!(
        place(&mut serving, START, 900_000),
        Err(Refusal::Overloaded { .. })
    ));
}

#[test]
fn an_engine_has_no_more_streams_than_slots() {
    let mut serving = instance(1, 2);

    let placed = (0..40)
        .filter(|_| place(&mut serving, START, 1_000).is_ok())
        .count();

    assert!(placed <= 32, "{placed}");
}

#[test]
fn the_engine_that_failed_is_not_chosen_again() {
    let mut serving = instance(1, 2);
    let first = place(&mut serving, START, 5_000).unwrap();
    serving.record_unreachable(START, &first.engine.id);

    let second = place(&mut serving, START + 10, 5_000).unwrap();

    assert_ne!(first.engine.id, second.engine.id);
}

/// Guards against long prompts that all wait for one slow helper. The helper writes no stream, so only its
/// own report shows that it is slow.
#[test]
fn an_engine_that_reports_that_it_is_slow_is_avoided() {
    let mut serving = instance(1, 6);
    let slow = engine_entry("e-03", TargetState::Ready);
    serving.apply_reported_pace(START, &slow, 8.0);

    let placed = place(&mut serving, START, 180_000).unwrap();

    let engines: Vec<String> = std::iter::once(&placed.engine)
        .chain(&placed.helpers)
        .map(|engine| engine.id.to_string())
        .collect();
    assert!(!engines.contains(&"e-03".to_owned()), "{engines:?}");
}

/// Guards against a long prompt whose engine fails after seven seconds and that is refused then, though its
/// caller waits for twelve: a late answer still has a part of its value.
#[test]
fn a_prompt_that_is_late_is_served_while_its_caller_waits() {
    let mut serving = instance(1, 21);
    let request = PromptRequest {
        slack_ms: -4_000,
        patience_ms: 5_000,
        ..prompt_request(150_000)
    };
    let job = serving.admit_prompt(START, &request).unwrap();

    let placement = serving.choose_engines(START, job, GROUP, &request).unwrap();

    assert!(placement.first_event_ms < 5_000.0);
}

/// Guards against a reply that is cut off though its engine is still writing it: one connection to the engine
/// failed, and no other engine could take the stream.
#[test]
fn a_stream_is_moved_only_to_an_engine_that_can_be_reached() {
    let mut alone = instance(1, 1);
    let mut serving = instance(1, 2);
    let engine = engine_entry("e-00", TargetState::Ready);
    alone.record_unreachable(START, &engine.id);

    let before = serving.should_move_stream(START, &engine);
    serving.record_unreachable(START, &engine.id);
    let after = serving.should_move_stream(START, &engine);
    serving.record_unreachable(START, &"e-01".into());
    let both = serving.should_move_stream(START, &engine);

    assert!(!alone.should_move_stream(START, &engine));
    assert_eq!((before, after, both), (false, true, false));
}

/// Guards against a caller that gets only half of its reply: the engine failed under load, and the rest was
/// refused as overload.
#[test]
fn a_started_stream_is_resumed_under_any_load() {
    let mut serving = instance(1, 2);
    place(&mut serving, START, 400_000).unwrap();
    let resumed = PromptRequest {
        slack_ms: 250,
        is_resumed: true,
        ..prompt_request(5_000)
    };
    let job = serving.admit_prompt(START, &resumed).unwrap();

    serving.choose_engines(START, job, GROUP, &resumed).unwrap();
    place(&mut serving, START, 5_000).unwrap_err();
}

/// Guards against member histories that start on time and then pause for too long: they were written on
/// engines that read audits, two parts of which in one pass exceed their limit, while engines that write
/// replies had free slots.
#[test]
fn beside_long_prompts_a_history_is_written_where_replies_are() {
    let mut serving = instance(1, 21);
    let mut short = HashSet::new();
    for _ in 0..6 {
        let placed = place(&mut serving, START, 5_000).unwrap();
        serving.record_first_event(START + 90, placed.job);
        short.insert(placed.engine.id);
    }
    for number in 0..6 {
        let long = place(&mut serving, START + 100 + 400 * number, 200_000).unwrap();
        serving.record_first_event(START + 450 + 400 * number, long.job);
    }
    let history = PromptRequest {
        slack_ms: 1_500,
        pause_limit_ms: 600,
        patience_ms: 6_000,
        ..prompt_request(45_000)
    };

    let now = START + 2_600;
    let job = serving.admit_prompt(now, &history).unwrap();
    let placement = serving.choose_engines(now, job, GROUP, &history).unwrap();

    assert!(short.contains(&placement.placed.engines[0]));
}

/// Guards against instances that all pack their short streams on the first engine on which they know any,
/// when all callers return at the same time to instances that have all restarted and know only a few prompts
/// of each other.
#[test]
fn instances_that_have_just_found_each_other_do_not_all_pack_one_engine() {
    let mut first = instance(1, 21);
    place(&mut first, START, 5_000).unwrap();
    let news = first.take_news();
    let mut engines: HashMap<TargetId, usize> = HashMap::new();

    for run in 2..14 {
        let mut other = instance(run, 21);
        let greeting = first.greeting(START, other.peer_address(), true);
        other.on_frame(START, 1, greeting, |_text| None);
        for (_recipients, frame) in news.clone() {
            other.on_frame(START, 1, frame, |_text| None);
        }
        for _ in 0..3 {
            let placed = place(&mut other, START + 100, 5_000).unwrap();
            *engines.entry(placed.engine.id).or_default() += 1;
        }
    }

    assert!(engines.values().all(|count| *count <= 12), "{engines:?}");
}

/// Guards against a burst of which half of the audits are late, by their first event or a pause, because
/// reading takes nearly all of the engines' time: writing, pauses and unpredicted work need some of it.
#[test]
fn a_burst_of_audits_leaves_engines_a_part_of_their_time() {
    let mut serving = instance(1, 21);
    let mut assigned_ms = 0.0;
    let mut in_flight: Vec<(MonoMs, bool, JobId)> = Vec::new();

    for step in 0..120 {
        let now = START + 50 * step;
        for (_, begins, job) in in_flight.extract_if(.., |(at, ..)| *at <= now) {
            if begins {
                serving.record_first_event(now, job);
            } else {
                serving.record_prompt_ended(job);
            }
        }
        let Ok(placed) = place(&mut serving, now, 250_000) else {
            continue;
        };
        let begins_at = now + placed.first_event_ms as u64;
        in_flight.push((begins_at, true, placed.job));
        in_flight.push((begins_at + 1_000, false, placed.job));
        if step >= 40 {
            assigned_ms += spec().read_ms(250_000);
        }
    }

    let engines_ms = 21.0 * 50.0 * 80.0;
    let share = assigned_ms / engines_ms;
    assert!((0.6..0.82).contains(&share), "{share}");
}

/// Guards against an audit that starts on time and then pauses for seconds: it overtook an older part of
/// another audit, which its engine reads in the pass of its second event.
#[test]
fn a_prompt_that_overtakes_a_long_part_is_expected_to_be_paused_by_it() {
    let mut loads = EngineLoads::default();
    let shared = PlacedPrompt {
        engines: ["e-1", "e-2", "e-3"].map(TargetId::from).to_vec(),
        ..placed(1, "e-1", 300_000)
    };
    loads.add_job(START, &spec(), GROUP, shared);
    let shape = |pause_limit_ms| PromptShape {
        prompt_tokens: 40_000,
        answer_tokens: 600,
        slack_ms: 3_000.0,
        pause_limit_ms,
        patience_ms: 12_000.0,
        reserved: None,
        utilization: 0.1,
        is_blind: false,
        mechanisms: DisabledMechanisms::default(),
    };
    let candidates = ["e-2", "e-3"].map(|helping| candidate(&loads, helping));
    let gain = |pause_limit_ms| {
        let choice = choose(START, &spec(), &shape(pause_limit_ms), &candidates);
        choice.unwrap().gain
    };

    assert!(gain(1_000.0) < 0.5 * gain(60_000.0));
}

/// Guards against a review, read by twelve engines, that is late: a newer prompt took four of them, where its
/// parts are read first, although four others were idle. Each of the four counted with a twelfth of the
/// review's loss, while a single delayed part costs all of it.
#[test]
fn a_prompt_avoids_engines_that_all_read_another() {
    let mut loads = EngineLoads::default();
    let engines: Vec<TargetId> = (0..16).map(engine_id).collect();
    let review = PlacedPrompt {
        engines: engines[..12].to_vec(),
        slack_ms: 2_450,
        is_prioritized: true,
        ..placed(1, "e-00", 500_000)
    };
    loads.add_job(START, &spec(), GROUP, review);
    loads.advance(START, &spec(), &engines);
    let candidates: Vec<Candidate<'_>> = engines[8..]
        .iter()
        .map(|id| candidate(&loads, id))
        .collect();

    let choice = choose(START, &spec(), &shape(120_000, 400.0), &candidates).unwrap();

    assert!(choice.engines.iter().all(|index| *index >= 4), "{choice:?}");
}

fn engine_id(number: usize) -> TargetId {
    format!("e-{number:02}").into()
}

/// Operators measure the effect of a mechanism on a fleet in which it is switched off.
#[test]
fn a_mechanism_that_is_switched_off_has_no_effect() {
    let refused = |disabled: &[Mechanism]| {
        let mut serving = instance(1, 4);
        serving.disable_mechanisms(disabled.iter().copied().collect());
        (0..20)
            .filter(|_| place(&mut serving, START, 300_000).is_err())
            .count()
    };

    assert!(refused(&[Mechanism::RefusalByWorth]) < refused(&[]));
}

#[test]
fn each_mechanism_is_parsed_from_its_name_and_other_names_are_rejected() {
    for mechanism in Mechanism::ALL {
        assert_eq!(mechanism.name().parse(), Ok(mechanism));
    }

    let fault = "refusals".parse::<Mechanism>().unwrap_err().to_string();

    assert!(fault.contains("`refusals`") && fault.contains("refusal-by-worth"));
}

/// Guards against prompts that are refused for seconds though an engine is idle: it has restarted under its
/// name, and the load of its former run still counted.
#[test]
fn a_restarted_engine_has_no_load_of_its_former_run() {
    let mut serving = instance(1, 0);
    serving.apply_store_change(START, &run_change("e-1", 5, 1_000));
    let place_many = |serving: &mut Serving| {
        let accepted = (0..40).filter(|_| place(serving, START, 1_000).is_ok());
        accepted.count()
    };
    let before = place_many(&mut serving);

    serving.apply_store_change(START, &run_change("e-1", 6, 2_000));
    let after = place_many(&mut serving);

    assert!(before >= 10, "{before}");
    assert_eq!(after, before);
}

/// Guards against load of a former run that counts for the new one: instances learn of a restart on different
/// paths and in different order, so a peer may still report prompts of the former run.
#[test]
fn news_of_the_former_run_does_not_count_for_the_new_one() {
    let mut serving = instance(1, 0);
    serving.apply_store_change(START, &run_change("e-1", 6, 2_000));
    let old = placed(1, "e-1#1000", 300_000);

    let frame = Frame {
        placed: vec![old],
        ..Frame::default()
    };
    serving.on_frame(START, 2, frame, |_text| None);
    let chosen = place(&mut serving, START, 5_000).unwrap();

    assert_eq!(&*chosen.engine.id, "e-1#2000");
    assert!(chosen.first_event_ms < 200.0, "{}", chosen.first_event_ms);
}

/// Guards against prompts that wait, until their callers leave, behind streams of instances that were all killed: an
/// instance that has just started knows none of them.
#[test]
fn an_instance_that_has_just_started_places_nothing_on_engines_that_report_full() {
    let mut serving = instance(1, 4);
    serving.tick(START);
    let request = prompt_request(5_000);
    let full = Occupancy {
        prompts: 16,
        memory_tokens: 400_000,
    };

    let asked = serving.engines_to_ask(START, GROUP, &request);
    for engine in &asked {
        serving.apply_occupancy(START, engine, full);
    }
    let placed = place(&mut serving, START, 5_000).unwrap();
    let asked_next = serving.engines_to_ask(START + 100, GROUP, &request);

    assert_eq!((asked.len(), asked_next.len()), (3, 1));
    assert_eq!(placed.engine.id, asked_next[0].id);
}

/// Guards against engines that stay unused since they were full of work that has ended long ago.
#[test]
fn unknown_work_counts_for_a_while_only() {
    let mut loads = EngineLoads::default();
    let engine: TargetId = "e-1".into();
    let full = Occupancy {
        prompts: 16,
        memory_tokens: 400_000,
    };

    loads.apply_occupancy(START, &spec(), &engine, full);
    let before = loads.engine(START + 1_499, &spec(), &engine).running();
    let after = loads.engine(START + 1_500, &spec(), &engine).running();

    assert_eq!((before, after), (16, 0));
}

/// Guards against reports that are read for every choice, each of which costs the engine a request.
#[test]
fn an_instance_that_knows_what_others_place_asks_no_engine() {
    let mut serving = instance(1, 4);
    serving.tick(START);

    let asked = serving.engines_to_ask(START + 2_000, GROUP, &prompt_request(5_000));

    assert!(asked.is_empty());
}
