use async_channel::{Receiver, Sender};

/// An event that happens once, for which tasks can wait.
#[derive(Debug)]
pub struct Latch {
    /// Closed by the event; nothing is ever sent.
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Latch {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Latch {
    /// Records that the event has happened.
    pub fn set(&self) {
        self.sender.close();
    }

    /// Returns whether the event has happened.
    pub fn is_set(&self) -> bool {
        self.sender.is_closed()
    }

    /// Completes once the event has happened.
    pub async fn wait(&self) {
        while self.receiver.recv().await.is_ok() {}
    }
}
