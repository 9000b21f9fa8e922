use {
    super::LineQueue,
    crate::{errors::DaemonError, metrics::Metrics},
    std::sync::Arc,
    whinlatch_core::decisions::Decision,
};

/// The log of decisions, one short sentence each.
#[derive(Debug)]
pub struct DecisionLog {
    lines: LineQueue<Decision>,
    metrics: Arc<Metrics>,
}

impl DecisionLog {
    /// Starts the writing thread; it ends when the log is dropped.
    ///
    /// # Errors
    /// [`DaemonError::Thread`] if the system can't start a thread.
    pub fn start(metrics: Arc<Metrics>) -> Result<Self, DaemonError> {
        let lines = LineQueue::start(write)?;
        Ok(Self { lines, metrics })
    }

    /// Queues a decision; counts it as dropped if the queue is full.
    pub fn write(&self, decision: Decision) {
        if !self.lines.push(decision) {
            self.metrics.record_dropped_log_line();
        }
    }
}

fn write(decision: Decision) {
    let prefix = decision.subsystem.prefix();
    let text = decision.text;
    match decision.request {
        Some(request) => log::info!(target: prefix, "{prefix}: {text} request={request}"),
        None => log::info!(target: prefix, "{prefix}: {text}"),
    }
}
