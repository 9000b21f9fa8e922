//! Fake plain service whose calls aren't idempotent. It counts the runs of each call, so that tests
//! detect a call that ran twice.
//!
//! Control: `/standin/faults`, `/standin/silence`, `/standin/die` and `/standin/stats`, as with all
//! fakes; the stats are [`TargetStats`].

use {
    crate::{
        http::{HandlerError, HandlerResult, IncomingRequest, no_content, ok, refuse, status},
        signal::after_ms,
        standin::{ANY_PORT, Fake, Server, Standin},
        target::{AnswerFault, CommonState, Faults, TargetStats},
    },
    async_std::task,
    futures::future,
    http_types::StatusCode,
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    whinlatch_wire::{
        ids::{AttemptId, ServiceName},
        target::{
            CALL_PATH, CANCEL_PATH, CancelRequest, LoadReport, REPORT_PATH, RefusalReason,
            ServiceAnswer, ServiceCall,
        },
    },
};

/// Settings of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceOptions {
    /// Address to listen on; a free loopback port by default.
    pub listen: SocketAddr,
    /// Name of the service. Calls of other services are refused; if absent, calls of any service are
    /// accepted.
    pub service: Option<ServiceName>,
    /// Maximum number of running calls; further ones are refused.
    pub slots: u32,
    /// Duration of a call, in ms.
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

/// Running plain service, which stops when it is dropped.
pub type PlainService = Standin<FakeService>;

/// State of a fake plain service.
#[derive(Debug)]
pub struct FakeService {
    options: ServiceOptions,
    common: CommonState,
}

/// Guard of a running call; the call counts as running until the guard is dropped.
struct RunningCall<'a>(&'a Server<FakeService>);

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.state().common.stats.running -= 1;
    }
}

impl PlainService {
    /// Binds the listen address and starts to answer requests.
    ///
    /// # Errors
    /// The listen address can't be bound.
    pub async fn start(options: ServiceOptions) -> io::Result<Self> {
        Self::listen(
            options.listen,
            FakeService {
                options,
                common: CommonState::default(),
            },
        )
        .await
    }
}

impl Fake for FakeService {
    type Stats = TargetStats;

    async fn handle(server: &Arc<Server<Self>>, mut incoming: IncomingRequest) -> HandlerResult {
        match incoming.path.as_str() {
            CALL_PATH => run(server, &incoming.read().await?).await,
            CANCEL_PATH => {
                let cancel: CancelRequest = incoming.read().await?;
                server.state().common.cancelled.insert(cancel.attempt);
                no_content()
            }
            REPORT_PATH => ok(&server.state().report()),
            _ => status(StatusCode::NotFound),
        }
    }

    fn common(&mut self) -> &mut CommonState {
        &mut self.common
    }

    fn stats(&mut self) -> TargetStats {
        self.common.stats.clone()
    }
}

async fn run(server: &Arc<Server<FakeService>>, call: &ServiceCall) -> HandlerResult {
    let deadline = after_ms(Instant::now(), call.deadline_ms);
    let started = server.state().start_call(call);
    let (faults, answer) = match started {
        Ok(started) => started,
        Err(reason) => return refuse(call.attempt, reason),
    };
    let running = RunningCall(server);
    let work = Duration::from_millis(server.state().options.call_ms);
    task::sleep(work.mul_f64(faults.slow_factor.unwrap_or(1.0))).await;
    drop(running);
    server.state().common.record_end(&call.body);
    if server.state().common.has_crash_marker(&call.body) {
        // The crash drops this call too, so it is carried out by another task.
        let server = Arc::clone(server);
        task::spawn(async move { server.crash(faults.crash).await });
        return Err(HandlerError::CloseConnection);
    }
    let attempt = match answer {
        AnswerFault::Lost | AnswerFault::BreakAfter(_) => {
            return Err(HandlerError::CloseConnection);
        }
        _ if Instant::now() >= deadline => return Err(HandlerError::CloseConnection),
        AnswerFault::SilentAfter(_) => future::pending().await,
        AnswerFault::Crossed => AttemptId(!call.attempt.0),
        AnswerFault::None => call.attempt,
    };
    ok(&ServiceAnswer {
        attempt,
        status: 200,
        body: format!("ran {}", call.body),
    })
}

impl FakeService {
    /// Counts the call as run. Returns the faults of the service and of the answer, or why the call is
    /// refused.
    fn start_call(&mut self, call: &ServiceCall) -> Result<(Faults, AnswerFault), RefusalReason> {
        let admitted = self.admit(call);
        if let Err(reason) = admitted {
            *self.common.stats.refusals.entry(reason).or_default() += 1;
            return Err(reason);
        }
        self.common.stats.running += 1;
        let answer = self.common.record_start(call.attempt, &call.body);
        Ok((self.common.faults.clone(), answer))
    }

    fn admit(&self, call: &ServiceCall) -> Result<(), RefusalReason> {
        self.common
            .admit(call.attempt, call.expect_incarnation, call.deadline_ms)?;
        if self
            .options
            .service
            .as_ref()
            .is_some_and(|own| *own != call.service)
        {
            return Err(RefusalReason::NotLoaded);
        }
        if self.common.stats.running >= self.options.slots {
            return Err(RefusalReason::Full);
        }
        Ok(())
    }

    fn report(&self) -> LoadReport {
        LoadReport {
            incarnation: self.common.incarnation,
            leaving: self.common.faults.leaving,
            running: self.common.stats.running,
            waiting: 0,
            prefill_tokens_left: 0,
            memory_used_tokens: 0,
            memory_total_tokens: 0,
            holdings: Vec::new(),
        }
    }
}
