//! A model engine: continuous batching, prefill in chunks beside decode steps, limited memory
//! with a prefix cache, priorities, resume and cancel.
//!
//! The engine works in real time. Its answers are a pure function of model and prompt, see
//! [`answer_chunks`]. Besides the calls of `whinlatch_wire::target` there are:
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /standin/faults` | [`EngineFaults`] | 204 |
//! | `POST /standin/silence` | | 204: the open connections are silent for good |
//! | `POST /standin/die` | [`Die`] | 204 |
//! | `GET /standin/stats` | | [`EngineStats`] |
//! | `GET /peer/reservation?id=ID` | | [`HeldReservation`] or 404, for other engines |
//! | `GET /peer/kv?handle=N` | | [`ExportedBlocks`] or 404, for other engines |

mod answer;
mod batch;
mod cache;
mod faults;
mod group;
mod kv;
mod memory;
mod options;
mod orders;
mod report;
mod routes;
mod state;
mod stats;
mod stream;
mod work;

use {
    crate::{
        server::{Freeze, Server},
        signal::{Signal, lock},
        target::Die,
    },
    async_std::{future::timeout, task},
    batch::Step,
    state::State,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, OnceLock, Weak},
        time::{Duration, Instant},
    },
    whinlatch_wire::ids::Incarnation,
};
pub use {
    answer::answer_chunks,
    faults::{AnswerFault, EngineFaults},
    group::HeldReservation,
    kv::ExportedBlocks,
    options::EngineOptions,
    stats::EngineStats,
};

/// Time between two looks for what has expired while there is no work.
const IDLE_LOOK: Duration = Duration::from_millis(20);
/// The engine catches up on work that it is behind with by at most this much.
const MOST_BEHIND: Duration = Duration::from_millis(20);
/// Steps shorter than this are not slept for one by one.
const SHORTEST_SLEEP: Duration = Duration::from_millis(1);

/// A running engine; stops when dropped.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: EngineOptions,
    server: OnceLock<Server>,
    freeze: Arc<Freeze>,
    wake: Signal,
    state: Mutex<State>,
}

impl Drop for Engine {
    fn drop(&mut self) {
        // Whoever waits for the thaw would keep the engine for ever.
        self.shared.freeze.set(false);
        self.shared.wake.notify();
    }
}

impl Engine {
    /// Listens and answers from now on.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(&options)),
            options,
            server: OnceLock::new(),
            freeze: Arc::new(Freeze::new()),
            wake: Signal::new(),
        });
        let routed = Arc::downgrade(&shared);
        let handler = Arc::new(move |request, connection| {
            routes::answer(Weak::clone(&routed), request, connection)
        });
        let freeze = Arc::clone(&shared.freeze);
        let server = Server::start(shared.options.listen, freeze, handler).await?;
        shared.server.get_or_init(|| server);
        task::spawn(run(Arc::downgrade(&shared)));
        Ok(Self { shared })
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.shared.server().address()
    }

    /// The present run.
    pub fn incarnation(&self) -> Incarnation {
        lock(&self.shared.state).incarnation
    }

    /// Replaces what goes wrong.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.set_faults(faults);
    }

    /// Lets the connections that are open now go silent for good; new ones work.
    pub fn silence_open(&self) {
        self.shared.server().silence_open();
    }

    /// Drops all connections and refuses new ones; returns when it does.
    pub async fn die(&self, die: Die) {
        self.shared.die(die).await;
    }

    /// What it did so far and holds now.
    pub fn stats(&self) -> EngineStats {
        lock(&self.shared.state).stats(Instant::now())
    }
}

impl Shared {
    fn server(&self) -> &Server {
        self.server
            .get()
            .expect("set at the start, before the first request")
    }

    fn set_faults(&self, faults: EngineFaults) {
        self.freeze.set(faults.frozen);
        lock(&self.state).faults = faults;
        self.wake.notify();
    }

    async fn die(self: &Arc<Self>, die: Die) {
        lock(&self.state).restart(&self.options);
        self.server().down().await;
        let Some(back_after_ms) = die.back_after_ms else {
            return;
        };
        let shared = Arc::downgrade(self);
        task::spawn(async move {
            task::sleep(Duration::from_millis(back_after_ms)).await;
            let Some(shared) = shared.upgrade() else {
                return;
            };
            // What still arrived while the connections were cut is gone as well.
            lock(&shared.state).restart(&shared.options);
            shared
                .server()
                .up()
                .await
                .expect("the port was free a moment ago");
        });
    }
}

async fn run(engine: Weak<Shared>) {
    let mut due = Instant::now();
    loop {
        let Some(shared) = engine.upgrade() else {
            return;
        };
        shared.freeze.pass().await;
        let woken = shared.wake.waiter();
        let now = Instant::now();
        let step = lock(&shared.state).begin_step(now);
        match step {
            Step::Idle => {
                drop(shared);
                let _timed_out = timeout(IDLE_LOOK, woken.wait()).await;
                due = Instant::now();
            }
            Step::Crash(die) => shared.die(die).await,
            Step::Work(plan) => {
                due = due.max(now.checked_sub(MOST_BEHIND).unwrap_or(now)) + plan.cost;
                match due.checked_duration_since(now) {
                    Some(ahead) if ahead >= SHORTEST_SLEEP => task::sleep(ahead).await,
                    _ => task::yield_now().await,
                }
                shared.freeze.pass().await;
                lock(&shared.state).finish_step(&plan);
            }
        }
    }
}
