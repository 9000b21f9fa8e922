//! Callers' requests that this process has read and not answered completely.

use {
    super::answers::RequestProgress,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    whinlatch_core::MonoMs,
};

/// A request that is being served.
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

/// The requests that are open in this process, in the order in which they were read.
#[derive(Debug, Default)]
pub struct OpenRequests {
    requests: Mutex<Requests>,
}

#[derive(Debug, Default)]
struct Requests {
    last_number: u64,
    open: BTreeMap<u64, OpenRequest>,
}

/// Keeps a request listed as open until dropped.
#[derive(Debug)]
pub struct OpenRequestGuard<'a> {
    requests: &'a OpenRequests,
    number: u64,
}

impl OpenRequests {
    /// Lists a request as open.
    pub fn begin(&self, request: OpenRequest) -> OpenRequestGuard<'_> {
        let mut requests = self.lock();
        requests.last_number += 1;
        let number = requests.last_number;
        requests.open.insert(number, request);
        OpenRequestGuard {
            requests: self,
            number,
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
