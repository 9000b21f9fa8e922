//! Engines that fail prompts although they are published as ready.

use {
    super::fixture::{World, start_with_clock, until},
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    whinlatch_daemon::clock::PausedClock,
    whinlatch_platform_standins::{
        Behaviour, CallerRequest, Fixture, STREAM_PREFIX, StoreStandin, TargetStandin,
    },
};

/// Starts two engines. The one that gets the first prompt fails that and all later ones.
fn engines_of_which_one_fails(
    failing: &Arc<AtomicUsize>,
    behaviour: &Behaviour,
) -> [TargetStandin; 2] {
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

/// Starts an instance with a paused clock, so that recorded failures don't expire.
async fn world_of(engines: &[TargetStandin; 2]) -> World {
    let store = StoreStandin::start();
    Fixture::default().publish(&store);
    for engine in engines {
        store.publish_engine(engine);
    }
    let entry = start_with_clock(store.address(), &[], Arc::new(PausedClock::default())).await;
    let world = World { store, entry };
    until(|| world.entry.ready_targets().len() == engines.len()).await;
    world
}

/// Sends ten prompts one after the other. Returns the number that the failing engine got.
async fn prompts_at_failing_engine(behaviour: &Behaviour) -> usize {
    let failing = Arc::new(AtomicUsize::new(0));
    let engines = engines_of_which_one_fails(&failing, behaviour);
    let world = world_of(&engines).await;

    for _ in 0..10 {
        world.exchange(&CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 5_000));
    }

    engines[failing.load(Ordering::SeqCst) - 1].arrivals().len()
}

/// Guards against 502 for half of all prompts: one of two engines closes each connection without an answer,
/// reports to be healthy, and attracts prompts since it is always idle.
#[async_std::test]
async fn an_engine_that_closes_connections_gets_few_prompts() {
    let sent = prompts_at_failing_engine(&Behaviour::DropResponse).await;

    assert!(sent <= 2, "{sent}");
}

/// The same with an engine that answers with an error status, which is passed on to the callers.
#[async_std::test]
async fn an_engine_that_answers_with_failures_gets_few_prompts() {
    let sent = prompts_at_failing_engine(&Behaviour::Fail(500)).await;

    assert!(sent <= 2, "{sent}");
}
