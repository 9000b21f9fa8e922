use {
    super::json_call::get_json,
    crate::shared::Shared,
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

/// Time for a report over a fresh connection, in ms.
const PROBE_TIMEOUT_MS: u64 = 1_000;
/// Largest report, in bytes.
const MAX_REPORT_BYTES: u64 = 4 * 1_048_576;
/// Reports in a row that don't know the attempt before its connection is held to be lost. More
/// than one, since reports lag.
const REPORTS_WITHOUT_IT: u32 = 2;

/// Why nothing more is awaited on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// The target answers over no connection.
    Silent,
    /// The target lives, but nothing more will come over this connection.
    Broken,
}

/// Judges the silence of an attempt's connection.
///
/// Guards against connections that go silent for good while new ones work, and against targets
/// that stop answering. Neither shows as an error. A long prefill is silent too, so silence alone
/// proves nothing: the target is asked over a fresh connection, and its word decides.
#[derive(Debug)]
pub struct Liveness<'a> {
    shared: &'a Shared,
    address: SocketAddr,
    attempt: AttemptId,
    incarnation: Incarnation,
    reports_holdings: bool,
    without_it: u32,
}

impl<'a> Liveness<'a> {
    /// Judges the connection of a dispatch. `reports_holdings` is whether the target's report
    /// lists the attempts that it works on.
    pub fn new(shared: &'a Shared, dispatch: &Dispatch, reports_holdings: bool) -> Self {
        Self {
            shared,
            address: dispatch.address,
            attempt: dispatch.attempt,
            incarnation: dispatch.expect_incarnation,
            reports_holdings,
            without_it: 0,
        }
    }

    /// Waits for something from the connection.
    pub async fn watch<F: Future>(&mut self, something: F) -> Result<F::Output, Lost> {
        pin_mut!(something);
        self.without_it = 0;
        loop {
            let silence_ms = self.shared.settings.limits.target_silence_ms;
            let silence = self.shared.clock.sleep(silence_ms);
            match select(something, silence).await {
                Either::Left((output, _)) => return Ok(output),
                Either::Right(((), waiting)) => something = waiting,
            }
            // Boxed, since few attempts are silent and all would hold the memory for it.
            let probe = self.probe().boxed();
            match select(something, probe).await {
                Either::Left((output, _)) => return Ok(output),
                Either::Right((verdict, waiting)) => {
                    verdict?;
                    something = waiting;
                }
            }
        }
    }

    async fn probe(&mut self) -> Result<(), Lost> {
        let report: LoadReport = get_json(
            self.shared,
            self.address,
            REPORT_PATH,
            PROBE_TIMEOUT_MS,
            MAX_REPORT_BYTES,
        )
        .await
        .map_err(|_no_answer| Lost::Silent)?;
        if report.incarnation != self.incarnation {
            return Err(Lost::Broken);
        }
        if !self.reports_holdings || self.may_work_on_it(&report) {
            self.without_it = 0;
            return Ok(());
        }
        self.without_it += 1;
        if self.without_it < REPORTS_WITHOUT_IT {
            return Ok(());
        }
        Err(Lost::Broken)
    }

    /// Reports list what runs and only count what waits.
    fn may_work_on_it(&self, report: &LoadReport) -> bool {
        let holds = report
            .holdings
            .iter()
            .any(|holding| holding.attempt == self.attempt);
        holds || report.waiting > 0
    }
}
