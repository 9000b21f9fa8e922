use {
    super::{attempt::Step, json_call::get_json},
    crate::shared::Shared,
    async_channel::Sender,
    futures::{
        FutureExt,
        future::{Either, select},
        pin_mut,
    },
    std::net::SocketAddr,
    whinlatch_core::Dispatch,
    whinlatch_wire::{
        ids::{AttemptId, Incarnation},
        target::{LoadReport, REPORT_PATH},
    },
};

/// Time for a report to be read over a new connection, in ms.
const PROBE_TIMEOUT_MS: u64 = 1_000;
/// Largest report, in bytes.
const MAX_REPORT_BYTES: u64 = 4 * 1_048_576;
/// Consecutive reports that don't list the attempt after which its connection is taken as lost. More
/// than one, because reports lag.
const MAX_REPORTS_WITHOUT_ATTEMPT: u32 = 2;

/// The target answers, but not over an attempt's connection, or it has restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLost;

/// Detects the loss of an attempt's connection.
///
/// Guards against connections that go silent for good while new ones work, and against targets that
/// stop answering. Neither shows as an error. A long prefill is silent too, so silence alone proves
/// nothing: the target's report is read over a new connection and decides.
#[derive(Debug)]
pub struct Liveness<'a> {
    shared: &'a Shared,
    address: SocketAddr,
    attempt: AttemptId,
    incarnation: Incarnation,
    reports_holdings: bool,
    steps: &'a Sender<Step>,
    /// Consecutive reports that didn't list the attempt.
    reports_without_attempt: u32,
}

impl<'a> Liveness<'a> {
    /// Creates a detector for the connection of a dispatch. `reports_holdings` is whether the
    /// target's report lists the attempts that it is running.
    pub fn new(
        shared: &'a Shared,
        dispatch: &Dispatch,
        reports_holdings: bool,
        steps: &'a Sender<Step>,
    ) -> Self {
        Self {
            shared,
            address: dispatch.address,
            attempt: dispatch.attempt,
            incarnation: dispatch.expect_incarnation,
            reports_holdings,
            steps,
            reports_without_attempt: 0,
        }
    }

    /// Waits for `read`, a read from the connection, until it ends or the connection is lost. After
    /// each `target_silence_ms` without a result, the target's report is read.
    pub async fn watch<F: Future>(&mut self, read: F) -> Result<F::Output, ConnectionLost> {
        pin_mut!(read);
        self.reports_without_attempt = 0;
        loop {
            let silence_ms = self.shared.settings.limits.target_silence_ms;
            let silence = self.shared.clock.sleep(silence_ms);
            match select(read, silence).await {
                Either::Left((output, _)) => return Ok(output),
                Either::Right(((), pending)) => read = pending,
            }
            // Boxed, because few attempts become silent, and all would hold the memory for it.
            let probe = self.probe().boxed();
            match select(read, probe).await {
                Either::Left((output, _)) => return Ok(output),
                Either::Right((probed, pending)) => {
                    probed?;
                    read = pending;
                }
            }
        }
    }

    /// Reads the target's report over a new connection; fails if the attempt's connection is lost. A target that
    /// doesn't answer there either may go on later, so its silence is only told as a step.
    async fn probe(&mut self) -> Result<(), ConnectionLost> {
        let report = get_json(
            self.shared,
            self.address,
            REPORT_PATH,
            PROBE_TIMEOUT_MS,
            MAX_REPORT_BYTES,
        )
        .await;
        let Ok(report): Result<LoadReport, _> = report else {
            let _abandoned = self.steps.send(Step::Silent).await;
            return Ok(());
        };
        if report.incarnation != self.incarnation {
            return Err(ConnectionLost);
        }
        if !self.reports_holdings || self.may_be_running(&report) {
            self.reports_without_attempt = 0;
            return Ok(());
        }
        self.reports_without_attempt += 1;
        if self.reports_without_attempt < MAX_REPORTS_WITHOUT_ATTEMPT {
            return Ok(());
        }
        Err(ConnectionLost)
    }

    /// Returns whether the target may be running the attempt. Reports list running attempts but only
    /// count waiting ones, so any waiting attempt may be this one.
    fn may_be_running(&self, report: &LoadReport) -> bool {
        let holds = report
            .holdings
            .iter()
            .any(|holding| holding.attempt == self.attempt);
        holds || report.waiting > 0
    }
}
