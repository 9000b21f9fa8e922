use {
    crate::{errors::DaemonError, metrics::Metrics},
    async_channel::{Receiver, Sender},
    std::{sync::Arc, thread},
    whinlatch_core::decisions::Decision,
};

/// Decisions that may wait to be written.
const WAITING_LINES: usize = 4_096;

/// Writes decisions to the log from a thread of its own.
///
/// Guards against a reader of standard output that stops reading: a write then blocks, and if the
/// control thread wrote itself, the whole daemon would stand still. Lines over the queue are
/// dropped and counted instead.
#[derive(Debug)]
pub struct DecisionLog {
    waiting: Sender<Decision>,
    metrics: Arc<Metrics>,
}

impl DecisionLog {
    /// Starts the writing thread; it ends when the log is dropped.
    ///
    /// # Errors
    /// [`DaemonError::Thread`] if there is no thread to be had.
    pub fn start(metrics: Arc<Metrics>) -> Result<Self, DaemonError> {
        let (waiting, lines) = async_channel::bounded(WAITING_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&lines))
            .map_err(DaemonError::Thread)?;
        Ok(Self { waiting, metrics })
    }

    /// Queues a line.
    pub fn write(&self, decision: Decision) {
        if self.waiting.try_send(decision).is_err() {
            self.metrics.note_dropped_log_line();
        }
    }
}

fn write_all(lines: &Receiver<Decision>) {
    while let Ok(decision) = lines.recv_blocking() {
        let prefix = decision.part.prefix();
        match decision.request {
            Some(request) => log::info!(
                target: prefix,
                "{prefix}: {} request={request}",
                decision.text
            ),
            None => log::info!(target: prefix, "{prefix}: {}", decision.text),
        }
    }
}
