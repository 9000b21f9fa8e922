//! Targets that announce in their answers that they leave, or ask for a pause.

use {
    super::{
        fixture::{target, until},
        paused_fleet::{ENGINES, Fleet, INSTANCES, LARGE_TOKENS, Published, STEP_MS},
    },
    whinlatch_platform_standins::{
        Behaviour, CALL_PREFIX, Caller, CallerRequest, SAFE_PREFIX, STREAM_PREFIX, TargetStandin,
    },
};

/// Requests that callers send while the clock is paused.
const REQUESTS: usize = 20;
/// Time by which all instances know what a target announced to one, in ms.
const PROPAGATION_MS: u64 = 200;
/// Pause that a target asks for: its header value in seconds, and in ms.
const PAUSE: (&str, u64) = ("1.5", 1_500);

/// Time after which an instance knows what others place, and asks no engine before it places a prompt there, in ms.
const SETTLING_MS: u64 = 2_000;
/// Time within which a reservation is renewed after the engine's pause, in ms.
const RENEWAL_MS: u64 = 1_500;

fn safe_call() -> CallerRequest {
    CallerRequest::new("GET", format!("{SAFE_PREFIX}listing"))
}

fn prompt() -> CallerRequest {
    CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 2_000)
}

/// Guards against requests to a target that has left during an outage of the store, which still lists it as
/// ready.
#[async_std::test]
async fn a_target_that_announces_its_leaving_gets_no_further_request() {
    let plain = ["p-1", "p-2"].map(|id| target(id, Behaviour::Serve("listing")));
    let fleet = Fleet::start(Published::Plain(&plain[0])).await;
    plain[0].announce_leaving();
    for instance in 0..INSTANCES {
        assert_eq!(fleet.status_of(instance, &safe_call()), 200);
    }
    fleet.add(Published::Plain(&plain[1])).await;

    for request in 0..REQUESTS {
        assert_eq!(fleet.status_of(request % INSTANCES, &safe_call()), 200);
    }

    assert!(plain[0].arrivals().len() <= INSTANCES);
}

/// Guards against prompts sent to an engine that leaves before it has answered them.
#[async_std::test]
async fn an_engine_that_announces_its_leaving_gets_no_further_prompt() {
    let engines = ["e-1", "e-2"].map(|id| target(id, Behaviour::Stream(2)));
    let fleet = Fleet::start(Published::Engine(&engines[0])).await;
    fleet.advance(SETTLING_MS).await;
    engines[0].announce_leaving();
    assert_eq!(fleet.status_of(0, &prompt()), 200);
    fleet.add(Published::Engine(&engines[1])).await;

    for request in 0..REQUESTS {
        assert_eq!(fleet.status_of(request % INSTANCES, &prompt()), 200);
    }

    assert_eq!(engines[0].arrivals().len(), 1);
}

/// Guards against a prompt sent to an engine that has just said in its report that it leaves: an instance that has just
/// started asks before it places a prompt.
#[async_std::test]
async fn an_engine_that_says_in_its_report_that_it_leaves_gets_no_prompt() {
    let engine = target("e-1", Behaviour::Stream(2));
    let fleet = Fleet::start(Published::Engine(&engine)).await;
    engine.announce_leaving();

    let refused = fleet.exchange(0, &prompt());

    assert_eq!((refused.status, engine.arrivals().len()), (503, 0));
    assert!(refused.header("Retry-After").is_some());
}

/// Guards against a prompt that waits for memory and is then sent to an engine that began to leave meanwhile.
#[async_std::test]
async fn a_prompt_that_waits_for_memory_is_not_sent_to_an_engine_that_leaves_meanwhile() {
    let engines = ENGINES.map(|id| target(id, Behaviour::Stream(2)));
    let fleet = Fleet::of_small_engines(&engines).await;
    for engine in &engines {
        engine.set_holds_orders(true);
    }
    let mut waiting = Caller::connect(fleet.entries[0].settings().caller_address);
    waiting.write(&CallerRequest::prompt(format!("{STREAM_PREFIX}x"), LARGE_TOKENS).text());
    until(|| engines.iter().any(|engine| !engine.orders().is_empty())).await;

    fleet.drain(&engines).await;
    for engine in &engines {
        engine.set_holds_orders(false);
    }

    assert_eq!(waiting.read().unwrap().status, 503);
    assert!(engines.iter().all(|engine| engine.arrivals().is_empty()));
}

/// Guards against instances that send to a leaving target until it has answered each of them.
#[async_std::test]
async fn all_instances_learn_that_a_target_leaves_from_the_first_one() {
    let plain = target("p-1", Behaviour::Serve("listing"));
    let fleet = Fleet::start(Published::Plain(&plain)).await;
    plain.announce_leaving();

    assert_eq!(fleet.status_of(0, &safe_call()), 200);

    fleet.advance(PROPAGATION_MS).await;
    let mut entries = fleet.entries.iter();
    assert!(entries.all(|entry| entry.ready_targets().is_empty()));
}

/// Guards against a full target that gets the next request immediately from the instance that it refused.
#[async_std::test]
async fn a_target_that_asks_for_a_pause_gets_no_requests_during_it() {
    let plain = target("p-1", Behaviour::Serve("printed"));
    let fleet = Fleet::start(Published::Plain(&plain)).await;
    plain.script([Behaviour::ShedAndPause(PAUSE.0)]);
    let call = || CallerRequest::new("POST", format!("{CALL_PREFIX}print"));
    assert_eq!(fleet.status_of(0, &call()), 503);

    for _ in 0..REQUESTS {
        let answer = fleet.exchange(0, &call());
        assert_eq!(
            (answer.status, answer.header("Retry-After")),
            (503, Some("1.50"))
        );
    }

    assert_eq!(plain.arrivals().len(), 1);
    assert_eq!(fleet.status_of(1, &call()), 200);
    fleet.advance(PAUSE.1 + STEP_MS).await;
    assert_eq!(fleet.status_of(0, &call()), 200);
}

/// Guards against a refusal that doesn't tell when an engine takes prompts again.
#[async_std::test]
async fn a_prompt_whose_engines_are_paused_is_refused_with_the_remaining_pause() {
    let engine = target("e-1", Behaviour::Stream(2));
    let fleet = Fleet::start(Published::Engine(&engine)).await;
    engine.script([Behaviour::ShedAndPause(PAUSE.0)]);
    assert_eq!(fleet.status_of(0, &prompt()), 503);

    let answer = fleet.exchange(0, &prompt());

    let refusal = (answer.status, answer.header("Retry-After"));
    assert_eq!(refusal, (503, Some("1.50")));
    assert_eq!(engine.arrivals().len(), 1);
}

/// Guards against orders to an engine during a pause that it asked for, and against a reservation that expires
/// meanwhile, so that the engine ends the stream.
#[async_std::test]
async fn memory_is_not_renewed_during_a_pause_of_its_engine() {
    let engines = ENGINES.map(|id| target(id, Behaviour::StreamThenHang(1)));
    let fleet = Fleet::of_small_engines(&engines).await;
    let mut waiting = Caller::connect(fleet.entries[0].settings().caller_address);
    waiting.write(&CallerRequest::prompt(format!("{STREAM_PREFIX}x"), LARGE_TOKENS).text());
    until(|| engines.iter().any(|engine| !engine.arrivals().is_empty())).await;
    let holder = engines
        .iter()
        .position(|engine| engine.arrivals().is_empty());
    let holder = &engines[holder.unwrap()];
    for engine in &engines {
        engine.script([Behaviour::ShedAndPause(PAUSE.0)]);
    }
    let counts_of = |engine: &TargetStandin| (engine.arrivals().len(), engine.orders().len());
    let counts = engines.each_ref().map(counts_of);

    assert_eq!(fleet.status_of(0, &prompt()), 503);
    fleet.advance(PAUSE.1 - STEP_MS).await;

    let paused: Vec<usize> = (0..engines.len())
        .filter(|index| engines[*index].arrivals().len() > counts[*index].0)
        .filter(|index| counts[*index].1 > 0)
        .collect();
    assert!(!paused.is_empty());
    for index in &paused {
        assert_eq!(engines[*index].orders().len(), counts[*index].1);
    }
    fleet.advance(RENEWAL_MS).await;
    for index in &paused {
        assert!(engines[*index].orders().len() > counts[*index].1);
    }
    assert!(
        !holder
            .orders()
            .iter()
            .any(|order| order.contains("release"))
    );
}
