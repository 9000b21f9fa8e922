//! A model engine: continuous batching, prefill in chunks beside decode steps, limited memory
//! with a prefix cache, priorities, resume and cancel.
//!
//! The engine works in real time. Its answers are a pure function of model and prompt, see
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

/// Time between two looks for what has expired or is gone.
const LOOK: Duration = Duration::from_millis(20);
/// The engine catches up on work that it is behind with by at most this much.
const MOST_BEHIND: Duration = Duration::from_millis(20);
/// Steps shorter than this are not slept for one by one.
const SHORTEST_SLEEP: Duration = Duration::from_millis(1);

/// A running engine; stops when dropped.
pub type Engine = Standin<FakeEngine>;

impl Engine {
    /// Listens and answers from now on.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        let engine = Self::listen(options.listen, FakeEngine::new(options)).await?;
        task::spawn(run(Arc::downgrade(&engine.0)));
        Ok(engine)
    }
}

async fn run(engine: Weak<Server<FakeEngine>>) {
    let mut due = Instant::now();
    while let Some(server) = engine.upgrade() {
        server.freeze.pass().await;
        let woken = server.changed.waiter();
        let now = Instant::now();
        let step = server.state().begin_step(now);
        match step {
            Step::Idle => {
                drop(server);
                let _timed_out = timeout(LOOK, woken.wait()).await;
                due = Instant::now();
            }
            Step::Crash(die) => server.die(die).await,
            Step::Work(plan) => {
                due = due.max(now.checked_sub(MOST_BEHIND).unwrap_or(now)) + plan.cost;
                while server.state().works_on(Instant::now(), &plan) {
                    let left = due.saturating_duration_since(Instant::now());
                    if left < SHORTEST_SLEEP {
                        task::yield_now().await;
                        break;
                    }
                    task::sleep(left.min(LOOK)).await;
                    server.freeze.pass().await;
                }
                due = due.min(Instant::now() + SHORTEST_SLEEP);
                server.state().finish_step(Instant::now(), &plan);
            }
        }
    }
}
