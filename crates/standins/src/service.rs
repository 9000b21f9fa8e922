//! A plain service whose calls may not be repeated; it keeps a ledger of what it ran.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /standin/faults` | [`ServiceFaults`] | 204 |
//! | `POST /standin/silence` | | 204: the open connections are silent for good |
//! | `POST /standin/die` | [`Die`] | 204 |
//! | `GET /standin/stats` | | [`ServiceStats`] |

use {
    crate::{
        http::{Answer, Fault, done, ok, read, status},
        platform::ANY_PORT,
        server::{Freeze, Server},
        signal::lock,
        target::{Die, new_incarnation, refuse},
    },
    async_std::task,
    futures::future::{self, BoxFuture, FutureExt},
    http_types::{Method, Request, StatusCode},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, OnceLock, Weak},
        time::{Duration, Instant},
    },
    whinlatch_wire::{
        ids::{AttemptId, Incarnation, ServiceName},
        target::{
            CALL_PATH, CANCEL_PATH, CancelRequest, LoadReport, REPORT_PATH, RefusalReason,
            ServiceAnswer, ServiceCall,
        },
    },
};

/// How a plain service starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceOptions {
    /// Where to listen.
    pub listen: SocketAddr,
    /// The service that it runs; calls for another are refused. Any if absent.
    pub service: Option<ServiceName>,
    /// Calls that run at once; more are refused.
    pub slots: usize,
    /// How long a call takes.
    pub call_ms: u64,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: ANY_PORT,
            service: None,
            slots: 64,
            call_ms: 1,
        }
    }
}

/// What goes wrong from now on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Refuses with `full`.
    pub full: bool,
    /// Refuses with `leaving` and says so in its report.
    pub leaving: bool,
    /// Takes longer for each call.
    pub added_ms: u64,
    /// Accepts and does nothing, until this is unset.
    pub frozen: bool,
    /// Dies when it has run a call with this text in its body, before it answers.
    pub crash_marker: Option<String>,
    /// What follows such a death.
    pub crash: Die,
    /// What goes wrong with answers.
    pub answer: ServiceAnswerFault,
}

/// What goes wrong with the answer to a call that ran.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceAnswerFault {
    /// Nothing.
    #[default]
    None,
    /// The connection closes without an answer.
    Lost,
    /// Nothing comes; the connection stays.
    Silent,
    /// It carries the id of another attempt.
    Crossed,
}

/// What a plain service did so far, over all its incarnations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStats {
    /// How many times each body ran.
    pub runs_by_body: BTreeMap<String, u32>,
    /// How many times each attempt ran.
    pub runs_by_attempt: BTreeMap<AttemptId, u32>,
    /// Refusals by reason.
    pub refusals: HashMap<RefusalReason, u64>,
    /// Calls that run now.
    pub running: usize,
    /// Incarnations so far.
    pub incarnations: u64,
}

/// A running plain service; stops when dropped.
#[derive(Debug)]
pub struct PlainService {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: ServiceOptions,
    server: OnceLock<Server>,
    freeze: Arc<Freeze>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    incarnation: Incarnation,
    faults: ServiceFaults,
    cancelled: HashSet<AttemptId>,
    stats: ServiceStats,
}

/// A call that runs; it counts as running until dropped.
struct Slot<'a>(&'a Shared);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).stats.running -= 1;
    }
}

impl PlainService {
    /// Listens and answers from now on.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn start(options: ServiceOptions) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                incarnation: new_incarnation(),
                faults: ServiceFaults::default(),
                cancelled: HashSet::new(),
                stats: ServiceStats {
                    incarnations: 1,
                    ..ServiceStats::default()
                },
            }),
            options,
            server: OnceLock::new(),
            freeze: Arc::new(Freeze::new()),
        });
        let routed = Arc::downgrade(&shared);
        let handler = Arc::new(move |request, _connection| answer(Weak::clone(&routed), request));
        let freeze = Arc::clone(&shared.freeze);
        let server = Server::start(shared.options.listen, freeze, handler).await?;
        shared.server.get_or_init(|| server);
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
    pub fn set_faults(&self, faults: ServiceFaults) {
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

    /// What it did so far.
    pub fn stats(&self) -> ServiceStats {
        lock(&self.shared.state).stats.clone()
    }
}

fn answer(shared: Weak<Shared>, request: Request) -> BoxFuture<'static, Answer> {
    async move {
        match shared.upgrade() {
            Some(shared) => shared.route(request).await,
            None => Err(Fault::BrokenOff),
        }
    }
    .boxed()
}

impl Shared {
    fn server(&self) -> &Server {
        self.server
            .get()
            .expect("set at the start, before the first request")
    }

    fn set_faults(&self, faults: ServiceFaults) {
        self.freeze.set(faults.frozen);
        lock(&self.state).faults = faults;
    }

    async fn die(self: &Arc<Self>, die: Die) {
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
            {
                let mut state = lock(&shared.state);
                state.incarnation = new_incarnation();
                state.cancelled.clear();
                state.stats.incarnations += 1;
            }
            shared
                .server()
                .up()
                .await
                .expect("the port was free a moment ago");
        });
    }

    async fn route(self: &Arc<Self>, mut request: Request) -> Answer {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, CALL_PATH) => self.call(read(&mut request).await?).await,
            (Method::Post, CANCEL_PATH) => {
                let cancel: CancelRequest = read(&mut request).await?;
                lock(&self.state).cancelled.insert(cancel.attempt);
                done()
            }
            (Method::Get, REPORT_PATH) => ok(&self.report()),
            (Method::Post, "/standin/faults") => {
                self.set_faults(read(&mut request).await?);
                done()
            }
            (Method::Post, "/standin/silence") => {
                self.server().silence_open();
                done()
            }
            (Method::Post, "/standin/die") => {
                self.die(read(&mut request).await?).await;
                done()
            }
            (Method::Get, "/standin/stats") => ok(&lock(&self.state).stats.clone()),
            _ => status(StatusCode::NotFound),
        }
    }

    fn report(&self) -> LoadReport {
        let state = lock(&self.state);
        LoadReport {
            incarnation: state.incarnation,
            leaving: state.faults.leaving,
            running: state.stats.running as u32,
            waiting: 0,
            prefill_tokens_left: 0,
            memory_used_tokens: 0,
            memory_total_tokens: 0,
            holdings: Vec::new(),
        }
    }

    async fn call(self: &Arc<Self>, call: ServiceCall) -> Answer {
        let until = Instant::now() + Duration::from_millis(call.deadline_ms);
        let (slot, faults) = match self.begin(&call) {
            Ok(begun) => begun,
            Err(reason) => return refuse(call.attempt, reason),
        };
        let work = Duration::from_millis(self.options.call_ms + faults.added_ms);
        task::sleep(work).await;
        drop(slot);
        if faults
            .crash_marker
            .as_ref()
            .is_some_and(|marker| call.body.contains(marker))
        {
            // The death drops this very call, so it runs on its own.
            let shared = Arc::clone(self);
            task::spawn(async move { shared.die(faults.crash).await });
            return Err(Fault::BrokenOff);
        }
        if Instant::now() >= until {
            return Err(Fault::BrokenOff);
        }
        let attempt = match faults.answer {
            ServiceAnswerFault::None => call.attempt,
            ServiceAnswerFault::Lost => return Err(Fault::BrokenOff),
            ServiceAnswerFault::Silent => future::pending().await,
            ServiceAnswerFault::Crossed => AttemptId(!call.attempt.0),
        };
        ok(&ServiceAnswer {
            attempt,
            status: 200,
            body: service_answer(&call.body),
        })
    }

    /// Enters the call into the ledger: from here on it has run.
    fn begin(&self, call: &ServiceCall) -> Result<(Slot<'_>, ServiceFaults), RefusalReason> {
        let mut state = lock(&self.state);
        if let Some(reason) = self.refusal(&state, call) {
            *state.stats.refusals.entry(reason).or_default() += 1;
            return Err(reason);
        }
        *state
            .stats
            .runs_by_body
            .entry(call.body.clone())
            .or_default() += 1;
        *state.stats.runs_by_attempt.entry(call.attempt).or_default() += 1;
        state.stats.running += 1;
        Ok((Slot(self), state.faults.clone()))
    }

    fn refusal(&self, state: &State, call: &ServiceCall) -> Option<RefusalReason> {
        let other_service = self
            .options
            .service
            .as_ref()
            .is_some_and(|own| *own != call.service);
        if call.expect_incarnation != state.incarnation {
            Some(RefusalReason::OtherIncarnation)
        } else if other_service {
            Some(RefusalReason::NotLoaded)
        } else if state.faults.leaving {
            Some(RefusalReason::Leaving)
        } else if state.cancelled.contains(&call.attempt) || call.deadline_ms == 0 {
            Some(RefusalReason::Expired)
        } else if state.faults.full || state.stats.running >= self.options.slots {
            Some(RefusalReason::Full)
        } else {
            None
        }
    }
}

/// The answer that a plain service gives to a body.
pub fn service_answer(body: &str) -> String {
    format!("ran {body}")
}
