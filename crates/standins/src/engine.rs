//! Fake model engine: continuous batching, chunked prefill mixed with decode steps, limited memory with a
//! prefix cache, priorities, resume and cancel.
//!
//! The engine simulates computing time in real time. Its answers are a pure function of model and prompt, see
//! [`answer_word`]. Control: `/standin/faults`, `/standin/silence`, `/standin/die` and
//! `/standin/stats`, as with all fakes; the stats are [`TargetStats`](crate::TargetStats).

mod batch;
mod cache;
mod group;
mod kv;
mod options;
mod orders;
mod report;
mod routes;
mod state;
mod stream;
mod work;

use {
    crate::standin::{Server, Standin},
    async_std::{future::timeout, task},
    batch::Step,
    state::FakeEngine,
    std::{
        io,
        sync::{Arc, Weak},
        time::{Duration, Instant},
    },
};
pub use {options::EngineOptions, work::answer_word};

/// Interval at which the engine drops expired requests and those of disconnected callers.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum delay that later steps make up for; the rest, as after a freeze, isn't recovered.
const MAX_CATCH_UP: Duration = Duration::from_millis(20);
/// Shortest sleep. Shorter steps are accumulated, since a timer can't wait for them one by one.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// Running engine, which stops when it is dropped.
pub type Engine = Standin<FakeEngine>;

impl Engine {
    /// Binds the listen address and starts to answer requests.
    ///
    /// # Errors
    /// The listen address can't be bound.
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        let engine = Self::listen(options.listen, FakeEngine::new(options)).await?;
        task::spawn(run(Arc::downgrade(&engine.0)));
        Ok(engine)
    }
}

async fn run(engine: Weak<Server<FakeEngine>>) {
    let mut step_end = Instant::now();
    while let Some(server) = engine.upgrade() {
        server.freeze.wait_while_frozen().await;
        let changed = server.changed.waiter();
        let now = Instant::now();
        let step = server.state().start_step(now);
        match step {
            Step::Idle => {
                drop(server);
                let _timed_out = timeout(POLL_INTERVAL, changed.wait()).await;
                step_end = Instant::now();
            }
            Step::Crash(options) => server.crash(options).await,
            Step::Run(plan) => {
                step_end = step_end.max(now.checked_sub(MAX_CATCH_UP).unwrap_or(now)) + plan.cost;
                while server.state().is_still_needed(Instant::now(), &plan) {
                    let remaining = step_end.saturating_duration_since(Instant::now());
                    if remaining < MIN_SLEEP {
                        task::yield_now().await;
                        break;
                    }
                    task::sleep(remaining.min(POLL_INTERVAL)).await;
                    server.freeze.wait_while_frozen().await;
                }
                step_end = step_end.min(Instant::now() + MIN_SLEEP);
                server.state().finish_step(Instant::now(), &plan);
            }
        }
    }
}
