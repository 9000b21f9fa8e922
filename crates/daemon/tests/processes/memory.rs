//! The memory of engines is freed after failures of the daemon that used it.

use {
    super::{
        client::{Answer, LONG_DEADLINE_MS, answer_to, completion, send_and_read},
        process::Process,
        wait::until,
        world::{World, WorldOptions, engine, settings},
    },
    async_std::task::{self, JoinHandle},
    whinlatch_standins::{
        Engine, EngineOptions, Platform, PlatformOptions, Relay, RelayOptions, relay::RelayMode,
    },
    whinlatch_wire::caller::OutcomeKind,
};

/// Long prompts in flight when the daemon fails.
const PROMPTS: usize = 3;
/// Size of a long prompt in bytes; several thousand tokens.
const PROMPT_BYTES: usize = 40_000;
/// Deadline of a long prompt, in ms.
const DEADLINE_MS: u64 = 4_000;

/// Returns options of an engine that never completes a long prompt during a test and doesn't enforce
/// deadlines.
fn engine_without_deadlines() -> EngineOptions {
    EngineOptions {
        prefill_tokens_per_s: 20.0,
        chunk_tokens: 1,
        enforces_deadlines: false,
        ..engine()
    }
}

async fn world() -> World {
    World::start(WorldOptions {
        engines: 1,
        engine: engine_without_deadlines(),
        ..WorldOptions::default()
    })
    .await
}

fn long_prompts(daemon: &Process, deadline_ms: u64) -> Vec<JoinHandle<Option<Answer>>> {
    (0..PROMPTS)
        .map(|number| {
            let prompt = format!("manifest {number}\n{}", "box ".repeat(PROMPT_BYTES / 4));
            let request = completion(daemon.callers, &prompt, deadline_ms);
            task::spawn(send_and_read(daemon.callers, request))
        })
        .collect()
}

async fn until_running(engine: &Engine) {
    until("the prompts use memory", async || {
        let stats = engine.stats();
        stats.running as usize == PROMPTS && stats.memory_used_tokens > 0
    })
    .await;
}

async fn until_free(engine: &Engine) {
    until("the engine's memory is free", async || {
        let stats = engine.stats();
        let in_use = (stats.running, stats.waiting, stats.reservations);
        in_use == (0, 0, 0) && stats.memory_used_tokens == 0
    })
    .await;
}

/// Checks that each caller got `unknown`: no prompt could complete, and all of them had started.
async fn assert_failed(answers: Vec<JoinHandle<Option<Answer>>>) {
    for answer in answers {
        let answer = answer.await.unwrap();
        assert_eq!(answer.kind(), OutcomeKind::Unknown, "{answer:?}");
    }
}

/// Guards against memory that stays in use after a daemon dies with long prompts at an engine: the
/// connections close, the engine must free it, and another daemon's prompt must complete.
#[test]
fn memory_used_by_a_killed_daemon_is_freed() {
    task::block_on(async {
        let world = world().await;
        let mut fleet = world.fleet(2).await;
        let answers = long_prompts(&fleet[0], LONG_DEADLINE_MS);
        until_running(&world.engines[0]).await;

        fleet[0].kill();

        for answer in answers {
            assert!(answer.await.is_none(), "an answer from a dead daemon");
        }
        until_free(&world.engines[0]).await;
        let request = completion(fleet[1].callers, "short", LONG_DEADLINE_MS);
        let answer = send_and_read(fleet[1].callers, request).await.unwrap();
        assert_eq!(answer.kind(), OutcomeKind::Completed, "{answer:?}");
        assert_eq!(answer.text, answer_to("short", 32));
    });
}

/// Guards against memory that stays in use while a daemon is frozen with long prompts at an engine that
/// doesn't enforce deadlines. Its connections stay open, so the engine sees no failure: the other daemon
/// must cancel prompts that are past their deadline in the engine's report. When the frozen daemon
/// resumes, its callers get a failure.
#[test]
fn memory_used_by_a_frozen_daemon_is_freed() {
    task::block_on(async {
        let world = world().await;
        let fleet = world.fleet(2).await;
        let answers = long_prompts(&fleet[0], DEADLINE_MS);
        until_running(&world.engines[0]).await;

        fleet[0].freeze();

        until_free(&world.engines[0]).await;
        fleet[0].resume();
        assert_failed(answers).await;
        assert_eq!(world.engines[0].stats().running, 0);
    });
}

/// Guards against memory that stays in use after a daemon is partitioned from the engine and all other
/// daemons: not even the end of a connection arrives, nor do its cancels. Another daemon that reaches the
/// engine must cancel the prompts past their deadline. The callers get a failure by their deadline.
#[test]
fn memory_used_by_a_partitioned_daemon_is_freed() {
    task::block_on(async {
        let world = world().await;
        let near = Process::start(&world.settings("near")).await;
        let relay = relay_to(&world.engines[0]).await;
        let platform = Platform::start(PlatformOptions::default()).await.unwrap();
        world.publish_all(&platform);
        world.publish_engine(&platform, 0, relay.address());
        let far = Process::start(&settings("far", platform.address())).await;
        for daemon in [&near, &far] {
            world.until_ready(daemon).await;
        }
        let answers = long_prompts(&far, DEADLINE_MS);
        until_running(&world.engines[0]).await;

        relay.set_mode(RelayMode::Hold);

        assert_failed(answers).await;
        until_free(&world.engines[0]).await;
    });
}

async fn relay_to(engine: &Engine) -> Relay {
    let options = RelayOptions {
        to: engine.address(),
        ..RelayOptions::default()
    };
    Relay::start(options).await.unwrap()
}
