use {
    crate::errors::DaemonError,
    async_channel::{Receiver, Sender},
    std::thread,
};

/// Entries queued for writing.
const QUEUE_LEN: usize = 4_096;

/// A queue of log entries that a separate thread writes.
///
/// Guards against a reader of standard output that stops reading: writes block then, and if the
/// threads that make decisions wrote the log themselves, the whole daemon would hang. Entries that
/// exceed the queue are dropped instead, and the caller of [`Self::push`] counts them.
#[derive(Debug)]
pub struct LineQueue<T> {
    queue: Sender<T>,
    /// Closed once the thread has written all entries and ended. Nothing is ever sent on it.
    ended: Receiver<()>,
}

impl<T: Send + 'static> LineQueue<T> {
    /// Starts the writing thread; it ends when the queue is dropped.
    ///
    /// # Errors
    /// [`DaemonError::Thread`] if the system can't start a thread.
    pub fn start(write: fn(T)) -> Result<Self, DaemonError> {
        let (queue, entries): (Sender<T>, Receiver<T>) = async_channel::bounded(QUEUE_LEN);
        let (writing, ended) = async_channel::bounded(1);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                let _writing: Sender<()> = writing;
                while let Ok(entry) = entries.recv_blocking() {
                    write(entry);
                }
            })
            .map_err(DaemonError::Thread)?;
        Ok(Self { queue, ended })
    }

    /// Takes no more entries, and completes once the queued ones have been written.
    pub async fn close(&self) {
        self.queue.close();
        let _closed = self.ended.recv().await;
    }

    /// Queues an entry. Returns whether there was room.
    pub fn push(&self, entry: T) -> bool {
        self.queue.try_send(entry).is_ok()
    }
}
