use {
    super::NewsQueue, crate::time::MonoMs, std::net::SocketAddr,
    whinlatch_wire::peer::RecordSummary,
};

/// An open link.
#[derive(Debug)]
pub(super) struct Link {
    pub address: SocketAddr,
    /// When something last came over it.
    pub heard: MonoMs,
    pub beats: u64,
    pub next_beat: MonoMs,
    pub news: NewsQueue,
    /// What the peer holds of the records.
    pub summary: RecordSummary,
    /// The peer's bucket digests, as it told them with its last pull.
    pub buckets: Vec<u64>,
    /// Since when neither side wants the link.
    pub surplus_since: Option<MonoMs>,
}

impl Link {
    pub fn new(now: MonoMs, address: SocketAddr) -> Self {
        Self {
            address,
            heard: now,
            beats: 0,
            next_beat: now,
            news: NewsQueue::default(),
            summary: RecordSummary::default(),
            buckets: Vec::new(),
            surplus_since: None,
        }
    }
}
