use {
    crate::metrics::Metrics,
    async_channel::{Receiver, Sender},
    std::sync::{Arc, Mutex, PoisonError},
};

/// Counts requests from when they are read until their answers are written, so that a daemon that
/// is leaving doesn't exit before the last byte is sent.
#[derive(Debug)]
pub struct OpenRequests {
    metrics: Arc<Metrics>,
    /// Each open request holds a clone of the sender; the receiver closes with the last one.
    /// `None` once [`Self::wait_for_end`] was called.
    alive: Mutex<Option<Sender<()>>>,
    ended: Receiver<()>,
}

/// Counts a request as open until it is dropped.
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
    /// Creates a counter without open requests.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        let (alive, ended) = async_channel::bounded(1);
        Self {
            metrics,
            alive: Mutex::new(Some(alive)),
            ended,
        }
    }

    /// Counts a request until the guard is dropped; `None` once the daemon is shutting down.
    pub fn open(&self) -> Option<OpenRequest> {
        let alive = self.alive.lock().unwrap_or_else(PoisonError::into_inner);
        let alive = alive.clone()?;
        self.metrics.add_in_flight(1);
        Some(OpenRequest {
            metrics: Arc::clone(&self.metrics),
            _alive: alive,
        })
    }

    /// Admits no more requests and waits until the open ones have ended.
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
