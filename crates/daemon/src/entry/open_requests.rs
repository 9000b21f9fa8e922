//! Callers' requests that this process has read and not answered completely.

use {
    super::answers::RequestProgress,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    whinlatch_core::MonoMs,
};

/// A request that is being read or served.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    /// Id that its caller gave it; empty until its head was read.
    pub id: String,
    /// When its first byte was read.
    pub arrived: MonoMs,
    /// How far its answer is.
    pub progress: Arc<Mutex<RequestProgress>>,
}

impl OpenRequest {
    /// Returns the progress of its answer so far.
    pub fn progress(&self) -> RequestProgress {
        *self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The requests that are open in this process, in the order in which they arrived.
#[derive(Debug, Default)]
pub struct OpenRequests {
    requests: Mutex<Requests>,
}

#[derive(Debug, Default)]
struct Requests {
    last_number: u64,
    open: BTreeMap<u64, OpenRequest>,
    connections: usize,
}

/// Counts a caller's connection as open until dropped.
#[derive(Debug)]
pub struct ConnectionGuard<'a> {
    requests: &'a OpenRequests,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.requests.lock().connections -= 1;
    }
}

/// Keeps a request listed as open until dropped.
#[derive(Debug)]
pub struct OpenRequestGuard<'a> {
    requests: &'a OpenRequests,
    number: u64,
    progress: Arc<Mutex<RequestProgress>>,
}

impl OpenRequests {
    /// Counts a caller's connection as open.
    pub fn begin_connection(&self) -> ConnectionGuard<'_> {
        self.lock().connections += 1;
        ConnectionGuard { requests: self }
    }

    /// Returns the number of callers' open connections.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Returns the number of open requests.
    pub fn count(&self) -> usize {
        self.lock().open.len()
    }

    /// Lists a request as open, of which the first byte was read at `arrived`.
    pub fn begin(&self, arrived: MonoMs) -> OpenRequestGuard<'_> {
        let request = OpenRequest {
            id: String::new(),
            arrived,
            progress: Arc::default(),
        };
        let progress = Arc::clone(&request.progress);
        let mut requests = self.lock();
        requests.last_number += 1;
        let number = requests.last_number;
        requests.open.insert(number, request);
        OpenRequestGuard {
            requests: self,
            number,
            progress,
        }
    }

    /// Returns the open requests.
    pub fn list(&self) -> Vec<OpenRequest> {
        self.lock().open.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Requests> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenRequestGuard<'_> {
    /// Returns the progress of its answer, which its answer updates.
    pub fn progress(&self) -> Arc<Mutex<RequestProgress>> {
        Arc::clone(&self.progress)
    }

    /// Records the id of the request once its head was read.
    pub fn set_id(&self, id: &str) {
        if let Some(request) = self.requests.lock().open.get_mut(&self.number) {
            id.clone_into(&mut request.id);
        }
    }
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.requests.lock().open.remove(&self.number);
    }
}
