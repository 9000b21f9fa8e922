//! Engines that lose power while a prompt waits there.

use {
    super::fixture::{World, until, world},
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    whinlatch_platform_standins::{
        Behaviour, Caller, CallerRequest, Fixture, STREAM_PREFIX, TargetStandin,
    },
};

/// Memory of each engine, in tokens.
const ENGINE_TOKENS: u64 = 9_000;
/// Length of a prompt that needs memory at other engines too, in tokens.
const LARGE_TOKENS: u64 = 10_000;

/// Starts engines of which the first one that gets a prompt never answers it. The others have enough memory for it.
fn engines(hanging: &Arc<AtomicUsize>) -> [TargetStandin; 7] {
    [1, 2, 3, 4, 5, 6, 7].map(|number| {
        let hanging = Arc::clone(hanging);
        TargetStandin::start_choosing(&format!("e-{number}"), move |_request| {
            let _other = hanging.compare_exchange(0, number, Ordering::SeqCst, Ordering::SeqCst);
            if hanging.load(Ordering::SeqCst) == number {
                Behaviour::Hang
            } else {
                Behaviour::Stream(2)
            }
        })
    })
}

/// Starts an instance whose callers wait minutes for the first event of a stream.
async fn patient_world(engines: &[TargetStandin; 7]) -> World {
    let world = world(&engines.each_ref(), &[]).await;
    let patient = Fixture {
        version: 4,
        engine_tokens: ENGINE_TOKENS,
        timeout_ms: 300_000,
        objective_ms: 40_000,
        ..Fixture::default()
    };
    patient.publish(&world.store);
    world.wait_for_version(4).await;
    world
}

/// A prompt that waits at an engine which never answers it.
struct WaitingPrompt {
    engines: [TargetStandin; 7],
    /// Index of the engine that is to answer.
    first: usize,
    caller: Caller,
    _world: World,
}

async fn waiting_prompt() -> WaitingPrompt {
    let hanging = Arc::new(AtomicUsize::new(0));
    let engines = engines(&hanging);
    let world = patient_world(&engines).await;
    let mut caller = world.connect();
    let prompt = CallerRequest::prompt(format!("{STREAM_PREFIX}x"), LARGE_TOKENS);
    caller.write(&prompt.text());
    until(|| hanging.load(Ordering::SeqCst) != 0).await;
    WaitingPrompt {
        engines,
        first: hanging.load(Ordering::SeqCst) - 1,
        caller,
        _world: world,
    }
}

/// Guards against memory that is renewed at other engines for a prompt whose engine has lost power, and a caller
/// who waits until the deadline although another engine could take the prompt: no connection breaks.
#[async_std::test]
async fn a_prompt_whose_engine_lost_power_is_placed_at_another_one() {
    let mut waiting = waiting_prompt().await;

    waiting.engines[waiting.first].lose_power();
    let answer = waiting.caller.read().unwrap();

    assert_eq!(answer.status, 200);
    assert!(answer.body.contains("event 2"));
    let mut orders = waiting.engines.iter().flat_map(TargetStandin::orders);
    assert!(orders.any(|order| order.contains("release")));
}

/// Guards against prompts that are given up at a slow engine: it is silent on their connections, but alive.
#[async_std::test]
async fn a_prompt_stays_at_an_engine_that_answers_for_its_report() {
    let waiting = waiting_prompt().await;
    let engine = &waiting.engines[waiting.first];

    let before = engine.report_count();
    until(|| engine.report_count() >= before + 3).await;

    assert_eq!(engine.closed_by_peer(), 0);
}
