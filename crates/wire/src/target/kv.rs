use {
    crate::ids::Incarnation,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The addition or eviction of one prefix in an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event. A gap means that events were lost.
    pub sequence: u64,
    /// Hash of the prefix that was added or evicted.
    pub prefix_hash: u64,
    /// Whether the prefix was added; false if it was evicted.
    pub stored: bool,
}

/// Response of `GET /v1/cache_events?after=N`: the events with a higher sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// The events, which arrive late and of which some may be missing.
    pub events: Vec<CacheEvent>,
}

/// A request to an engine to prepare a cached prefix for transfer to another engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Hash of the longest prefix to export.
    pub prefix_hash: u64,
    /// Daemon that sent the request.
    pub owner: Incarnation,
    /// Time for which the engine keeps the export, in ms.
    pub hold_ms: u64,
}

/// A handle to an export, with which another engine can fetch it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvHandle {
    /// Id of the export, unique at its engine.
    pub handle: u64,
    /// Number of tokens in the exported prefix.
    pub tokens: u64,
}

/// A request to an engine to fetch an export into its own cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImport {
    /// Address of the engine that has the export.
    pub from: SocketAddr,
    /// Id of the export at that engine.
    pub handle: u64,
    /// Hash of the exported prefix.
    pub prefix_hash: u64,
    /// Number of tokens in the exported prefix.
    pub tokens: u64,
    /// Daemon that sent the request.
    pub owner: Incarnation,
}
