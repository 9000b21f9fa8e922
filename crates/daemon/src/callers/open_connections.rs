use {
    async_channel::{Receiver, Sender},
    std::sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

/// The open connections of callers. A daemon that stops closes those on which no request is being served before
/// it exits, so that no caller sends a request that nobody reads.
#[derive(Debug)]
pub struct OpenConnections {
    is_leaving: AtomicBool,
    /// Closed when idle connections are to close. Nothing is ever sent on it.
    closing: Receiver<()>,
    _closing_sender: Sender<()>,
    /// Each open connection holds a clone; the receiver closes with the last one. `None` once
    /// [`Self::wait_for_end`] was called.
    alive: Mutex<Option<Sender<()>>>,
    ended: Receiver<()>,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    _alive: Option<Sender<()>>,
}

impl Default for OpenConnections {
    fn default() -> Self {
        let (alive, ended) = async_channel::bounded(1);
        let (closing_sender, closing) = async_channel::bounded(1);
        Self {
            is_leaving: AtomicBool::new(false),
            closing,
            _closing_sender: closing_sender,
            alive: Mutex::new(Some(alive)),
            ended,
        }
    }
}

impl OpenConnections {
    /// Counts a connection as open until the guard is dropped.
    pub fn open(&self) -> OpenConnection {
        let alive = self.alive.lock().unwrap_or_else(PoisonError::into_inner);
        OpenConnection {
            _alive: alive.clone(),
        }
    }

    /// Records that the daemon is leaving: each answer is the last on its connection from now on.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Returns whether the daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Waits until idle connections are to close.
    pub async fn closing(&self) {
        let _closed = self.closing.recv().await;
    }

    /// Closes idle connections and waits until all have ended.
    pub async fn wait_for_end(&self) {
        self.closing.close();
        let own = self
            .alive
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        drop(own);
        let _closed = self.ended.recv().await;
    }
}
