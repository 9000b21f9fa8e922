use {
    super::NewsQueue, crate::time::MonoMs, std::net::SocketAddr,
    whinlatch_wire::peer::RecordSummary,
};

/// State of an open link to a peer.
#[derive(Debug)]
pub(super) struct Link {
    pub address: SocketAddr,
    /// Time of the last frame from the peer.
    pub last_received_at: MonoMs,
    /// Number of the last heartbeat sent.
    pub heartbeats_sent: u64,
    pub next_heartbeat_at: MonoMs,
    pub news: NewsQueue,
    /// The peer's summary of its records, from its last heartbeat.
    pub summary: RecordSummary,
    /// The peer's bucket digests, from its last pull; empty before it.
    pub buckets: Vec<u64>,
    /// Time since which the topology doesn't include the link; `None` while it does.
    pub unwanted_since: Option<MonoMs>,
}

impl Link {
    pub fn new(now: MonoMs, address: SocketAddr) -> Self {
        Self {
            address,
            last_received_at: now,
            heartbeats_sent: 0,
            next_heartbeat_at: now,
            news: NewsQueue::default(),
            summary: RecordSummary::default(),
            buckets: Vec::new(),
            unwanted_since: None,
        }
    }
}
