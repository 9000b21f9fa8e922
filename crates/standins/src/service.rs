//! A plain service whose calls may not be repeated; it keeps a ledger of what it ran.
//!
//! Control: `/standin/faults`, `/standin/silence`, `/standin/die` and `/standin/stats`, as with all
//! fakes; the stats are [`TargetStats`].

use {
    crate::{
        http::{Answer, Call, Fault, done, ok, refuse, status},
        signal::after_ms,
        standin::{ANY_PORT, Fake, Server, Standin},
        target::{AnswerFault, Common, Faults, TargetStats},
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

/// How a plain service starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceOptions {
    /// Where to listen.
    pub listen: SocketAddr,
    /// The service that it runs; calls for another are refused. Any if absent.
    pub service: Option<ServiceName>,
    /// Calls that run at once; more are refused.
    pub slots: u32,
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

/// A running plain service; stops when dropped.
pub type PlainService = Standin<FakeService>;

/// What a plain service knows.
#[derive(Debug)]
pub struct FakeService {
    options: ServiceOptions,
    common: Common,
}

/// A call that runs; it counts as running until dropped.
struct Slot<'a>(&'a Server<FakeService>);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.state().common.counted.running -= 1;
    }
}

impl PlainService {
    /// Listens and answers from now on.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn start(options: ServiceOptions) -> io::Result<Self> {
        Self::listen(
            options.listen,
            FakeService {
                options,
                common: Common::default(),
            },
        )
        .await
    }
}

impl Fake for FakeService {
    type Stats = TargetStats;

    async fn answer(server: &Arc<Server<Self>>, mut call: Call) -> Answer {
        match call.path.as_str() {
            CALL_PATH => run(server, &call.read().await?).await,
            CANCEL_PATH => {
                let cancel: CancelRequest = call.read().await?;
                server.state().common.cancelled.insert(cancel.attempt);
                done()
            }
            REPORT_PATH => ok(&server.state().report()),
            _ => status(StatusCode::NotFound),
        }
    }

    fn common(&mut self) -> &mut Common {
        &mut self.common
    }

    fn stats(&mut self) -> TargetStats {
        self.common.counted.clone()
    }
}

async fn run(server: &Arc<Server<FakeService>>, call: &ServiceCall) -> Answer {
    let until = after_ms(Instant::now(), call.deadline_ms);
    let begun = server.state().begin(call);
    let (faults, answer) = match begun {
        Ok(begun) => begun,
        Err(reason) => return refuse(call.attempt, reason),
    };
    let slot = Slot(server);
    let work = Duration::from_millis(server.state().options.call_ms);
    task::sleep(work.mul_f64(faults.slow_factor.unwrap_or(1.0))).await;
    drop(slot);
    server.state().common.end(&call.body);
    if server.state().common.crashes(&call.body) {
        // The death drops this very call, so it runs on its own.
        let server = Arc::clone(server);
        task::spawn(async move { server.die(faults.crash).await });
        return Err(Fault::BrokenOff);
    }
    let attempt = match answer {
        AnswerFault::Lost | AnswerFault::BreakAfter(_) => return Err(Fault::BrokenOff),
        _ if Instant::now() >= until => return Err(Fault::BrokenOff),
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
    /// Enters the call into the ledger: from here on it has run.
    fn begin(&mut self, call: &ServiceCall) -> Result<(Faults, AnswerFault), RefusalReason> {
        let admitted = self.admit(call);
        if let Err(reason) = admitted {
            *self.common.counted.refusals.entry(reason).or_default() += 1;
            return Err(reason);
        }
        self.common.counted.running += 1;
        let answer = self.common.begin(call.attempt, &call.body);
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
        if self.common.counted.running >= self.options.slots {
            return Err(RefusalReason::Full);
        }
        Ok(())
    }

    fn report(&self) -> LoadReport {
        LoadReport {
            incarnation: self.common.incarnation,
            leaving: self.common.faults.leaving,
            running: self.common.counted.running,
            waiting: 0,
            prefill_tokens_left: 0,
            memory_used_tokens: 0,
            memory_total_tokens: 0,
            holdings: Vec::new(),
        }
    }
}
