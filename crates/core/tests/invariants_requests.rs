//! Invariants of requests under random faults in any order: crashes, restarts, pauses, and messages between
//! three daemons and their targets that are lost, duplicated, reordered or answered on the wrong connection.
//!
//! `WHINLATCH_PROPTEST_CASES` sets the number of cases; the seed is fixed. Cases that failed are saved beside
//! this file and run first.

mod invariants_world;
mod requests_fixture;

use {
    invariants_world::{Step, Steps, World},
    proptest::test_runner::{Config, FileFailurePersistence, RngAlgorithm, RngSeed},
    proptest_state_machine::{StateMachineTest, prop_state_machine},
};

/// Number of cases unless `WHINLATCH_PROPTEST_CASES` is set.
const CASES: u32 = 128;
/// Seed of the random cases.
const SEED: u64 = 0x5eed;

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        Self::new()
    }

    fn apply(mut world: Self, (): &(), step: Step) -> Self {
        match step {
            Step::AskOnce {
                daemon,
                job,
                deadline_ms,
            } => world.submit_new(daemon, Some(job), deadline_ms),
            Step::Ask {
                daemon,
                deadline_ms,
            } => world.submit_new(daemon, None, deadline_ms),
            Step::Deliver { which, answer } => world.deliver(which, answer),
            Step::Duplicate { which } => world.duplicate(which),
            Step::Lose { which, seen } => world.lose(which, seen),
            Step::Cross { which } => world.misroute_refusal(which),
            Step::KillTarget { which } => world.kill_target(which),
            Step::KillDaemon { daemon } => world.kill_daemon(daemon),
            Step::Freeze { daemon } => world.pause(daemon),
            Step::FreezeAmid { daemon, which } => world.pause_during_reply(daemon, which),
            Step::Wake { daemon } => world.resume(daemon),
            Step::Tick { ticks } => world.tick(ticks),
        }
        world
    }

    fn check_invariants(world: &Self, (): &()) {
        world.check();
    }

    fn teardown(mut world: Self) {
        world.run_to_end();
    }
}

fn config() -> Config {
    let cases = std::env::var("WHINLATCH_PROPTEST_CASES");
    Config {
        cases: cases.map_or(CASES, |cases| cases.parse().expect("a number of cases")),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn every_promise_of_a_request_holds_in_every_order(sequential 20..120 => World);
}
