use {
    crate::capacity::clock::timed,
    serde::{Serialize, de::DeserializeOwned},
};

/// What an exchange cost.
#[derive(Debug, Clone, Copy, Default)]
pub struct Transcript {
    /// Bytes of all messages, both ways.
    pub bytes: usize,
    /// Messages that had to wait for one another.
    pub legs: usize,
    /// Processor time of both sides together, in ns.
    pub cpu_ns: u64,
}

impl Transcript {
    /// Encodes a message as the sender does and decodes it as the receiver does.
    pub fn pass<T: Serialize + DeserializeOwned>(&mut self, message: &T) -> T {
        let mut cpu_ns = 0;
        let (bytes, received) = timed(&mut cpu_ns, || {
            let mut bytes = Vec::new();
            ciborium::into_writer(message, &mut bytes).expect("messages are plain data");
            let received = ciborium::from_reader(bytes.as_slice()).expect("it was just encoded");
            (bytes.len(), received)
        });
        self.cpu_ns += cpu_ns;
        self.bytes += bytes;
        received
    }

    /// Adds an exchange that follows.
    pub fn add(&mut self, next: Self) {
        self.bytes += next.bytes;
        self.legs += next.legs;
        self.cpu_ns += next.cpu_ns;
    }

    /// Counts the processor time of what a side does between messages.
    pub fn compute<T>(&mut self, work: impl FnOnce() -> T) -> T {
        timed(&mut self.cpu_ns, work)
    }
}
