use {
    crate::metrics::Metrics,
    async_channel::{Receiver, Sender},
    std::sync::{Arc, Mutex, PoisonError},
};

/// Counts requests from when they are read until their answers are written, so that a daemon
/// that leaves doesn't end before the last byte.
#[derive(Debug)]
pub struct OpenRequests {
    metrics: Arc<Metrics>,
    /// Every open request holds a copy of the sender; the receiver ends with the last.
    alive: Mutex<Option<Sender<()>>>,
    ended: Receiver<()>,
}

/// A request whose answer isn't written yet.
#[derive(Debug)]
pub struct OpenRequest {
    metrics: Arc<Metrics>,
    _alive: Sender<()>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.metrics.add_in_flight(-1);
    }
}

impl OpenRequests {
    /// No open requests.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        let (alive, ended) = async_channel::bounded(1);
        Self {
            metrics,
            alive: Mutex::new(Some(alive)),
            ended,
        }
    }

    /// Counts a request until the guard is dropped; `None` once the daemon ends.
    pub fn open(&self) -> Option<OpenRequest> {
        let alive = self.alive.lock().unwrap_or_else(PoisonError::into_inner);
        let alive = alive.clone()?;
        self.metrics.add_in_flight(1);
        Some(OpenRequest {
            metrics: Arc::clone(&self.metrics),
            _alive: alive,
        })
    }

    /// Opens no more requests and waits for the end of those that are open.
    pub async fn wait_for_end(&self) {
        let own = self
            .alive
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        drop(own);
        let _closed = self.ended.recv().await;
    }
}

#[cfg(test)]
#[path = "open_requests_test.rs"]
mod tests;
