//! Engines that fail what they get while they are published as ready.

use {
    super::fixture::{World, start_by_clock, until},
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    whinlatch_daemon::clock::PausedClock,
    whinlatch_platform_standins::{
        Behaviour, CallerRequest, Fixture, STREAM_PREFIX, StoreStandin, TargetStandin,
    },
};

/// Two engines. The one that gets the first prompt fails it, and all that it gets after that.
fn one_fails(failing: &Arc<AtomicUsize>, behaviour: &Behaviour) -> [TargetStandin; 2] {
    [1, 2].map(|number| {
        let failing = Arc::clone(failing);
        let behaviour = behaviour.clone();
        TargetStandin::start_choosing(&format!("e-{number}"), move |_request| {
            let _other = failing.compare_exchange(0, number, Ordering::SeqCst, Ordering::SeqCst);
            if failing.load(Ordering::SeqCst) == number {
                behaviour.clone()
            } else {
                Behaviour::Stream(2)
            }
        })
    })
}

/// An instance by a clock that stands still, so that nothing is forgotten.
async fn world_of(engines: &[TargetStandin; 2]) -> World {
    let store = StoreStandin::start();
    Fixture::default().publish(&store);
    for engine in engines {
        store.publish_engine(engine);
    }
    let entry = start_by_clock(store.address(), &[], Arc::new(PausedClock::default())).await;
    let world = World { store, entry };
    until(|| world.entry.ready_targets().len() == engines.len()).await;
    world
}

/// Sends ten prompts, one after the other. Returns how many the failing engine got.
async fn sent_to_the_failing_one(behaviour: &Behaviour) -> usize {
    let failing = Arc::new(AtomicUsize::new(0));
    let engines = one_fails(&failing, behaviour);
    let world = world_of(&engines).await;

    for _ in 0..10 {
        world.ask(&CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 5_000));
    }

    engines[failing.load(Ordering::SeqCst) - 1].arrivals().len()
}

/// Half of all replies end with 502: one of two engines closes each connection without an answer, says
/// that it is well, and is always idle.
#[async_std::test]
async fn an_engine_that_closes_connections_gets_few_prompts() {
    let sent = sent_to_the_failing_one(&Behaviour::DropResponse).await;

    assert!(sent <= 2, "{sent}");
}

/// The same with failures that the engine tells: they go to the callers as they are.
#[async_std::test]
async fn an_engine_that_answers_with_failures_gets_few_prompts() {
    let sent = sent_to_the_failing_one(&Behaviour::Fail(500)).await;

    assert!(sent <= 2, "{sent}");
}
