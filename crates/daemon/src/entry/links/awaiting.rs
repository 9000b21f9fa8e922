use {
    async_channel::{Receiver, Sender},
    std::{
        collections::HashMap,
        hash::Hash,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Answers that are awaited from peers, by what they are asked under.
#[derive(Debug)]
pub struct Awaiting<K, V> {
    asks: Mutex<HashMap<K, Sender<V>>>,
}

impl<K, V> Default for Awaiting<K, V> {
    fn default() -> Self {
        Self {
            asks: Mutex::default(),
        }
    }
}

/// An answer that is awaited; no longer, once this is dropped.
#[derive(Debug)]
pub struct Awaited<'a, K: Eq + Hash, V> {
    awaiting: &'a Awaiting<K, V>,
    key: K,
    /// Where the answer comes.
    pub answer: Receiver<V>,
}

impl<K: Eq + Hash, V> Drop for Awaited<'_, K, V> {
    fn drop(&mut self) {
        self.awaiting.lock().remove(&self.key);
    }
}

impl<K: Eq + Hash + Copy, V> Awaiting<K, V> {
    /// Begins to wait for the answer to an ask.
    pub fn begin(&self, key: K) -> Awaited<'_, K, V> {
        let (sender, answer) = async_channel::bounded(1);
        self.lock().insert(key, sender);
        Awaited {
            awaiting: self,
            key,
            answer,
        }
    }

    /// Hands on an answer; nobody may wait for it any more.
    pub fn answered(&self, key: &K, answer: V) {
        if let Some(sender) = self.lock().remove(key) {
            let _late = sender.try_send(answer);
        }
    }
}

impl<K, V> Awaiting<K, V> {
    fn lock(&self) -> MutexGuard<'_, HashMap<K, Sender<V>>> {
        self.asks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
