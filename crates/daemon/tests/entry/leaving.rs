//! Targets that say in their answers that they leave, or that they want nothing for a while.

use {
    super::{
        fixture::{target, until},
        paused_fleet::{ENGINES, Fleet, INSTANCES, LARGE_TOKENS, Published, STEP_MS},
    },
    whinlatch_platform_standins::{
        Behaviour, CALL_PREFIX, Caller, CallerRequest, SAFE_PREFIX, STREAM_PREFIX, TargetStandin,
    },
};

/// Requests that callers send while the clock stands still.
const REQUESTS: usize = 20;
/// Time by which all instances know what one was told, in ms.
const TOLD_MS: u64 = 200;
/// Time for which a target wants nothing, as it says and in ms.
const PAUSE: (&str, u64) = ("1.5", 1_500);

/// Time within which memory is renewed once nothing is against it, in ms.
const RENEWED_MS: u64 = 1_500;

fn safe_call() -> CallerRequest {
    CallerRequest::new("GET", format!("{SAFE_PREFIX}listing"))
}

fn prompt() -> CallerRequest {
    CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 2_000)
}

/// Guards against requests to a target that has left while the store, which lists it as ready, was away.
#[async_std::test]
async fn a_target_that_says_that_it_leaves_gets_no_further_request() {
    let plain = ["p-1", "p-2"].map(|id| target(id, Behaviour::Serve("listing")));
    let fleet = Fleet::start(Published::Plain(&plain[0])).await;
    plain[0].announce_leaving();
    for instance in 0..INSTANCES {
        assert_eq!(fleet.ask(instance, &safe_call()), 200);
    }
    fleet.add(Published::Plain(&plain[1])).await;

    for request in 0..REQUESTS {
        assert_eq!(fleet.ask(request % INSTANCES, &safe_call()), 200);
    }

    assert!(plain[0].arrivals().len() <= INSTANCES);
}

/// Guards against prompts that are begun at an engine which leaves before it has answered them.
#[async_std::test]
async fn an_engine_that_says_that_it_leaves_gets_no_further_prompt() {
    let engines = ["e-1", "e-2"].map(|id| target(id, Behaviour::Stream(2)));
    let fleet = Fleet::start(Published::Engine(&engines[0])).await;
    engines[0].announce_leaving();
    assert_eq!(fleet.ask(0, &prompt()), 200);
    fleet.add(Published::Engine(&engines[1])).await;

    for request in 0..REQUESTS {
        assert_eq!(fleet.ask(request % INSTANCES, &prompt()), 200);
    }

    assert_eq!(engines[0].arrivals().len(), 1);
}

/// Guards against instances that go on sending until the leaving target has told each of them.
#[async_std::test]
async fn all_instances_know_that_a_target_leaves_once_one_was_told() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let fleet = Fleet::start(Published::Plain(&plain)).await;
    plain.announce_leaving();

    assert_eq!(fleet.ask(0, &safe_call()), 200);

    fleet.advance(TOLD_MS).await;
    let mut entries = fleet.entries.iter();
    assert!(entries.all(|entry| entry.ready_targets().is_empty()));
}

/// Guards against a target that is full and gets the next request at once, from the instance that it turned away.
#[async_std::test]
async fn a_target_that_wants_nothing_for_a_while_gets_nothing() {
    let plain = target("p-1", Behaviour::Serve("printed"));
    let fleet = Fleet::start(Published::Plain(&plain)).await;
    plain.script([Behaviour::ShedAndPause(PAUSE.0)]);
    let call = || CallerRequest::new("POST", format!("{CALL_PREFIX}print"));
    assert_eq!(fleet.ask(0, &call()), 503);

    for _ in 0..REQUESTS {
        let answer = fleet.answer(0, &call());
        assert_eq!(
            (answer.status, answer.header("Retry-After")),
            (503, Some("1.50"))
        );
    }

    assert_eq!(plain.arrivals().len(), 1);
    assert_eq!(fleet.ask(1, &call()), 200);
    fleet.advance(PAUSE.1 + STEP_MS).await;
    assert_eq!(fleet.ask(0, &call()), 200);
}

/// Guards against callers of prompts who aren't told when an engine takes something again.
#[async_std::test]
async fn a_prompt_whose_engines_want_nothing_is_refused_with_the_time_that_is_left() {
    let engine = target("e-1", Behaviour::Stream(2));
    let fleet = Fleet::start(Published::Engine(&engine)).await;
    engine.script([Behaviour::ShedAndPause(PAUSE.0)]);
    assert_eq!(fleet.ask(0, &prompt()), 503);

    let answer = fleet.answer(0, &prompt());

    let told = (answer.status, answer.header("Retry-After"));
    assert_eq!(told, (503, Some("1.50")));
    assert_eq!(engine.arrivals().len(), 1);
}

/// Guards against orders that an engine gets while it wants nothing, and against memory that lapses meanwhile
/// and cuts a stream off.
#[async_std::test]
async fn memory_is_not_renewed_while_its_engine_wants_nothing() {
    let engines = ENGINES.map(|id| target(id, Behaviour::StreamThenHang(1)));
    let fleet = Fleet::of_small_engines(&engines).await;
    let mut held = Caller::connect(fleet.entries[0].settings().caller_address);
    held.write(&CallerRequest::prompt(format!("{STREAM_PREFIX}x"), LARGE_TOKENS).text());
    until(|| engines.iter().any(|engine| !engine.arrivals().is_empty())).await;
    let holder = engines
        .iter()
        .position(|engine| engine.arrivals().is_empty());
    let holder = &engines[holder.unwrap()];
    for engine in &engines {
        engine.script([Behaviour::ShedAndPause(PAUSE.0)]);
    }
    let before = |engine: &TargetStandin| (engine.arrivals().len(), engine.orders().len());
    let counts = engines.each_ref().map(before);

    assert_eq!(fleet.ask(0, &prompt()), 503);
    fleet.advance(PAUSE.1 - STEP_MS).await;

    let paused: Vec<usize> = (0..engines.len())
        .filter(|place| engines[*place].arrivals().len() > counts[*place].0)
        .filter(|place| counts[*place].1 > 0)
        .collect();
    assert!(!paused.is_empty());
    for place in &paused {
        assert_eq!(engines[*place].orders().len(), counts[*place].1);
    }
    fleet.advance(RENEWED_MS).await;
    for place in &paused {
        assert!(engines[*place].orders().len() > counts[*place].1);
    }
    assert!(
        !holder
            .orders()
            .iter()
            .any(|order| order.contains("release"))
    );
}
