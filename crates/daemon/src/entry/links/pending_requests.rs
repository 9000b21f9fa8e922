use {
    async_channel::{Receiver, Sender},
    std::{
        collections::HashMap,
        hash::Hash,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Requests to peers that wait for a response, by the key that the response repeats.
#[derive(Debug)]
pub struct PendingRequests<K, V> {
    pending: Mutex<HashMap<K, Sender<V>>>,
}

impl<K, V> Default for PendingRequests<K, V> {
    fn default() -> Self {
        Self {
            pending: Mutex::default(),
        }
    }
}

/// A request that waits for its response. Dropping it removes the request.
#[derive(Debug)]
pub struct PendingRequest<'a, K: Eq + Hash, V> {
    requests: &'a PendingRequests<K, V>,
    key: K,
    /// Receives the response, at most one.
    pub response: Receiver<V>,
}

impl<K: Eq + Hash, V> Drop for PendingRequest<'_, K, V> {
    fn drop(&mut self) {
        self.requests.lock().remove(&self.key);
    }
}

impl<K: Eq + Hash + Copy, V> PendingRequests<K, V> {
    /// Registers a request. Called before the request is sent, so that no response is missed.
    pub fn begin(&self, key: K) -> PendingRequest<'_, K, V> {
        let (sender, response) = async_channel::bounded(1);
        self.lock().insert(key, sender);
        PendingRequest {
            requests: self,
            key,
            response,
        }
    }

    /// Passes a response to the request that waits for it; drops it if there is none any more.
    pub fn complete(&self, key: &K, response: V) {
        if let Some(sender) = self.lock().remove(key) {
            let _late = sender.try_send(response);
        }
    }
}

impl<K, V> PendingRequests<K, V> {
    fn lock(&self) -> MutexGuard<'_, HashMap<K, Sender<V>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
