//! Engines that are silent for longer than any wait for an event, and go on.

use {
    super::{
        cut_off::{Cut, DeadAddress},
        fixture::{World, is_ready, settings, until},
    },
    async_std::task,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
    whinlatch_daemon::{
        clock::{Clock, PausedClock},
        entry::Entry,
    },
    whinlatch_platform_standins::{
        Behaviour, Caller, CallerRequest, CallerResponse, ENGINES, Fixture, STREAM_PREFIX,
        StoreStandin, TargetStandin, names::LAST_EVENT_HEADER,
    },
    whinlatch_serving::retries::FleetBudgetRule,
};

/// Last event of each stream.
const LAST_EVENT: u64 = 4;
/// Step by which the clock is advanced, in ms.
const STEP_MS: u64 = 20;
/// Queries after a step, so that the tasks which it wakes have run.
const ROUNDS: usize = 2;
/// Silence that is longer than the waits for the first event and for the next one, in ms.
const LONG_SILENCE_MS: u64 = 7_000;
/// Silence in which several reports stay without an answer, and after which reserved memory is still there, in ms.
const SHORT_SILENCE_MS: u64 = 2_200;
/// Memory of an engine that is too small for a large prompt, in tokens.
const SMALL_ENGINE_TOKENS: u64 = 9_000;
/// Length of a prompt that needs the memory of several small engines, in tokens.
const LARGE_TOKENS: u64 = 10_000;
/// Length of a prompt that one engine reads together with others, in tokens.
const LONG_TOKENS: u64 = 180_000;
/// Length of a prompt that one engine reads alone, in tokens.
const USUAL_TOKENS: u64 = 5_000;

/// A budget without any retry.
const NO_RETRY: FleetBudgetRule = retries(0.0);
/// A budget that suffices for all retries of a test.
const MANY_RETRIES: FleetBudgetRule = retries(100.0);
/// A budget with one retry: a part of it isn't used.
const ONE_RETRY: FleetBudgetRule = retries(2.0);

const fn retries(slack: f64) -> FleetBudgetRule {
    FleetBudgetRule {
        ratio: 0.0,
        slack,
        window_ms: 60_000,
    }
}

/// Engines of which the first one that gets a prompt pauses its stream; the others stream at once.
struct Engines<const COUNT: usize> {
    all: [TargetStandin; COUNT],
}

impl<const COUNT: usize> Engines<COUNT> {
    /// Starts the engines. The pause comes after the event `silent_after`, or before any if that is 0.
    fn start(silent_after: u64) -> Self {
        let has_paused = Arc::new(AtomicBool::new(false));
        let all = std::array::from_fn(|index| {
            let has_paused = Arc::clone(&has_paused);
            TargetStandin::start_choosing(&format!("e-{index}"), move |_request| {
                if has_paused.swap(true, Ordering::SeqCst) {
                    return Behaviour::Stream(LAST_EVENT);
                }
                Behaviour::StreamThenPause {
                    silent_after,
                    last: LAST_EVENT,
                }
            })
        });
        Self { all }
    }

    /// Waits until an engine pauses its stream, and returns it.
    async fn silent(&self) -> &TargetStandin {
        until(|| self.all.iter().any(TargetStandin::is_silent)).await;
        let silent = self.all.iter().find(|engine| engine.is_silent());
        silent.unwrap()
    }

    /// Returns the engines that have memory reserved, except one.
    fn other_holders(&self, engine: &TargetStandin) -> Vec<&TargetStandin> {
        let others = self.all.iter().filter(|other| other.id() != engine.id());
        others.filter(|other| !other.orders().is_empty()).collect()
    }

    /// Returns the number of prompts that arrived at all engines.
    fn arrivals(&self) -> usize {
        self.all.iter().map(|engine| engine.arrivals().len()).sum()
    }
}

/// An instance whose clock only the test advances.
struct PausedWorld {
    clock: Arc<PausedClock>,
    world: World,
}

impl PausedWorld {
    async fn start<const COUNT: usize>(
        engines: &Engines<COUNT>,
        fixture: &Fixture,
        budget: FleetBudgetRule,
    ) -> Self {
        let store = StoreStandin::start();
        fixture.publish(&store);
        for engine in &engines.all {
            store.publish_engine(engine);
        }
        Self::start_at(store, COUNT, budget, &[]).await
    }

    /// Starts an instance whose store publishes this number of engines.
    async fn start_at(
        store: StoreStandin,
        engines: usize,
        budget: FleetBudgetRule,
        seeds: &[SocketAddr],
    ) -> Self {
        let clock = Arc::new(PausedClock::default());
        let mut settings = settings(store.address(), seeds);
        settings.budget = budget;
        let shared_clock = Arc::clone(&clock) as Arc<dyn Clock>;
        let entry = Entry::start(settings, shared_clock).await.unwrap();
        let world = World { store, entry };
        let paused = Self { clock, world };
        paused
            .advance_until(|world| {
                is_ready(&world.entry) && world.entry.ready_targets().len() == engines
            })
            .await;
        paused
    }

    async fn advance(&self, ms: u64) {
        for _ in 0..ms.div_ceil(STEP_MS) {
            self.clock.advance(STEP_MS);
            for _ in 0..ROUNDS {
                is_ready(&self.world.entry);
            }
            task::yield_now().await;
        }
    }

    async fn advance_until(&self, condition: impl Fn(&World) -> bool) {
        while !condition(&self.world) {
            self.advance(STEP_MS).await;
        }
    }

    /// Sends a prompt and returns the connection on which its answer arrives.
    fn send_prompt(&self, tokens: u64) -> Caller {
        let mut caller = self.world.connect();
        let prompt = CallerRequest::prompt(format!("{STREAM_PREFIX}x"), tokens);
        caller.write(&prompt.text());
        caller
    }
}

/// Returns a configuration of small engines, whose callers wait for minutes.
fn small_engines() -> Fixture {
    Fixture {
        engine_tokens: SMALL_ENGINE_TOKENS,
        ..patient()
    }
}

/// Returns a configuration with callers that wait for minutes.
fn patient() -> Fixture {
    Fixture {
        timeout_ms: 300_000,
        objective_ms: 40_000,
        ..Fixture::default()
    }
}

fn assert_complete(answer: Option<CallerResponse>) {
    let answer = answer.expect("an answer comes");
    let events: Vec<String> = (1..=LAST_EVENT)
        .map(|id| format!("id: {id}\ndata: event {id}\n\n"))
        .collect();
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.body, events.concat());
}

/// Guards against an accepted stream that fails or is cut because its engine is silent for a while, although no other
/// engine can take it and this one goes on.
#[async_std::test]
async fn a_stream_waits_for_its_silent_engine_when_there_is_no_other() {
    for silent_after in [0, 2] {
        let engines = Engines::<1>::start(silent_after);
        let paused = PausedWorld::start(&engines, &Fixture::default(), MANY_RETRIES).await;
        let mut caller = paused.send_prompt(USUAL_TOKENS);
        let silent = engines.silent().await;

        paused.advance(LONG_SILENCE_MS).await;
        silent.go_on();

        assert_complete(caller.read());
        assert_eq!(engines.arrivals(), 1);
    }
}

/// As above, where another engine is free and the retry budget is used up.
#[async_std::test]
async fn a_stream_waits_for_its_silent_engine_when_the_retry_budget_is_used_up() {
    for silent_after in [0, 2] {
        let engines = Engines::<2>::start(silent_after);
        let paused = PausedWorld::start(&engines, &Fixture::default(), NO_RETRY).await;
        let mut caller = paused.send_prompt(USUAL_TOKENS);
        let silent = engines.silent().await;

        paused.advance(LONG_SILENCE_MS).await;
        silent.go_on();

        assert_complete(caller.read());
        assert_eq!(engines.arrivals(), 1);
    }
}

/// Guards against a caller that waits for a silent engine until its deadline while another one could go on.
#[async_std::test]
async fn a_stream_moves_from_a_silent_engine_to_another() {
    for silent_after in [0, 2] {
        let engines = Engines::<2>::start(silent_after);
        let paused = PausedWorld::start(&engines, &Fixture::default(), MANY_RETRIES).await;
        let mut caller = paused.send_prompt(USUAL_TOKENS);
        let silent = engines.silent().await;
        if silent_after > 0 {
            caller.wait_for_first_bytes();
        }

        paused.advance(LONG_SILENCE_MS).await;

        assert_complete(caller.read());
        let other = engines.all.iter().find(|other| other.id() != silent.id());
        let arrivals = other.unwrap().arrivals();
        let resumed_after = arrivals[0].header(LAST_EVENT_HEADER);
        let expected = (silent_after > 0).then(|| silent_after.to_string());
        assert_eq!((arrivals.len(), resumed_after), (1, expected.as_deref()));
        silent.go_on();
    }
}

/// Guards against a retry budget that is used up by searches for another engine in which none was found.
#[async_std::test]
async fn a_search_without_a_result_takes_nothing_from_the_retry_budget() {
    let engines = Engines::<1>::start(2);
    let paused = PausedWorld::start(&engines, &Fixture::default(), ONE_RETRY).await;
    let mut caller = paused.send_prompt(USUAL_TOKENS);
    let silent = engines.silent().await;
    paused.advance(LONG_SILENCE_MS).await;

    let other = TargetStandin::start("e-other", Behaviour::Stream(LAST_EVENT));
    paused.world.store.publish_engine(&other);
    paused
        .advance_until(|world| world.entry.ready_targets().len() == 2)
        .await;
    paused.advance(LONG_SILENCE_MS).await;

    assert_complete(caller.read());
    assert_eq!(other.arrivals().len(), 1);
    silent.go_on();
}

/// Guards against a prompt that is given up because two reports of its engine stay without an answer, where memory is
/// reserved for it and no other engine takes it.
#[async_std::test]
async fn a_prompt_with_reserved_memory_waits_for_its_silent_engine() {
    for is_resumable in [true, false] {
        for silent_after in [0, 2] {
            let engines = Engines::<5>::start(silent_after);
            let fixture = Fixture {
                is_resumable,
                ..small_engines()
            };
            let paused = PausedWorld::start(&engines, &fixture, NO_RETRY).await;
            let mut caller = paused.send_prompt(LARGE_TOKENS);
            let silent = engines.silent().await;

            paused.advance(SHORT_SILENCE_MS).await;
            silent.go_on();

            assert_complete(caller.read());
            assert_eq!(engines.arrivals(), 1);
        }
    }
}

/// Guards against memory that stays reserved at other engines for as long as an engine is silent, which may have lost
/// power, and against memory that isn't renewed any more once it goes on.
#[async_std::test]
async fn memory_is_renewed_only_while_the_answering_engine_shows_life() {
    let engines = Engines::<5>::start(2);
    let paused = PausedWorld::start(&engines, &small_engines(), NO_RETRY).await;
    let mut caller = paused.send_prompt(LARGE_TOKENS);
    let silent = engines.silent().await;
    let holders = engines.other_holders(silent);
    let orders = || -> usize { holders.iter().map(|holder| holder.orders().len()).sum() };
    let before = orders();

    paused.advance(SHORT_SILENCE_MS).await;
    let in_silence = orders();
    silent.answer_beside_paused_streams();
    paused.advance(SHORT_SILENCE_MS).await;
    let afterwards = orders();
    silent.go_on();

    assert_complete(caller.read());
    assert!(!holders.is_empty());
    // One renewal may be due shortly after the last event.
    assert!(in_silence <= before + holders.len());
    assert!(afterwards > in_silence);
}

/// Guards against a prompt that is given up at an engine that is slow to begin, because one report at which the use of
/// its memory is checked stays without an answer.
#[async_std::test]
async fn a_prompt_survives_a_report_on_its_memory_that_is_not_answered() {
    let engines = Engines::<3>::start(0);
    for engine in &engines.all {
        engine.report_memory_unused();
    }
    let paused = PausedWorld::start(&engines, &patient(), NO_RETRY).await;
    let mut caller = paused.send_prompt(LONG_TOKENS);
    let silent = engines.silent().await;
    silent.answer_beside_paused_streams();

    paused.advance(6_200).await;
    silent.fall_silent();
    paused.advance(1_600).await;
    silent.report_memory_used();
    silent.go_on();

    assert_complete(caller.read());
    assert_eq!(engines.arrivals(), 1);
}

/// Starts an instance that reaches no engine, beside one that reaches all.
async fn cut_instance(
    other: &PausedWorld,
    engine: &TargetStandin,
    fixture: &Fixture,
) -> (PausedWorld, DeadAddress) {
    let dead = DeadAddress::new(Cut::Refused);
    let store = StoreStandin::start();
    fixture.publish(&store);
    store.publish_target(engine.id(), ENGINES, dead.address, "ready");
    let seeds = [other.world.entry.settings().peer_address];
    let cut = PausedWorld::start_at(store, 1, MANY_RETRIES, &seeds).await;
    while [&cut, other].iter().any(|it| it.world.entry.peers() == 0) {
        cut.advance(STEP_MS).await;
        other.advance(STEP_MS).await;
    }
    (cut, dead)
}

/// Guards against a stream that is given up because nothing is heard of the peer through which it comes, although it
/// can't go on elsewhere and the peer still serves it.
#[async_std::test]
async fn a_stream_waits_for_the_silent_peer_that_serves_it() {
    for is_resumable in [true, false] {
        let engines = Engines::<1>::start(2);
        let fixture = Fixture {
            is_resumable,
            ..Fixture::default()
        };
        let other = PausedWorld::start(&engines, &fixture, MANY_RETRIES).await;
        let (cut, _dead) = cut_instance(&other, &engines.all[0], &fixture).await;
        let mut caller = cut.send_prompt(USUAL_TOKENS);
        let silent = engines.silent().await;

        // The other instance's clock stands, so that it sends no news.
        cut.advance(LONG_SILENCE_MS).await;
        silent.go_on();

        assert_complete(caller.read());
        assert_eq!(engines.arrivals(), 1);
    }
}
