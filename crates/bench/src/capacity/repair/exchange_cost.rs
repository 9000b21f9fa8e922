use {
    crate::capacity::clock::timed,
    serde::{Serialize, de::DeserializeOwned},
};

/// Cost of an exchange of messages between two replicas.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExchangeCost {
    /// Bytes of all messages in both directions.
    pub bytes: usize,
    /// Number of messages that had to be sent one after another.
    pub legs: usize,
    /// CPU time of both replicas together, in ns.
    pub cpu_ns: u64,
}

impl ExchangeCost {
    /// Encodes a message for the sender and decodes it for the receiver, and adds bytes and CPU time.
    pub fn transfer<T: Serialize + DeserializeOwned>(&mut self, message: &T) -> T {
        let mut cpu_ns = 0;
        let (bytes, received) = timed(&mut cpu_ns, || {
            let mut bytes = Vec::new();
            ciborium::into_writer(message, &mut bytes).expect("messages always serialize");
            let received = ciborium::from_reader(bytes.as_slice()).expect("it was just encoded");
            (bytes.len(), received)
        });
        self.cpu_ns += cpu_ns;
        self.bytes += bytes;
        received
    }

    /// Adds the cost of a subsequent exchange.
    pub fn add(&mut self, next: Self) {
        self.bytes += next.bytes;
        self.legs += next.legs;
        self.cpu_ns += next.cpu_ns;
    }

    /// Runs `work` of a replica and adds its CPU time.
    pub fn compute<T>(&mut self, work: impl FnOnce() -> T) -> T {
        timed(&mut self.cpu_ns, work)
    }
}
