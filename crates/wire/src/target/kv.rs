use {
    crate::ids::Incarnation,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A change of what an engine's prefix cache holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; gaps show that some were lost.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix_hash: u64,
    /// Whether it was stored or evicted.
    pub stored: bool,
}

/// Cache events after the one that was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The run of the engine.
    pub incarnation: Incarnation,
    /// The events, late and with gaps.
    pub events: Vec<CacheEvent>,
}

/// Asks an engine to make a cached prefix ready for another engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Hash of the longest prefix wanted.
    pub prefix_hash: u64,
    /// The daemon that asks.
    pub owner: Incarnation,
    /// How long the export is kept, in ms.
    pub hold_ms: u64,
}

/// An export that another engine may fetch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvHandle {
    /// Names the export at its engine.
    pub handle: u64,
    /// Tokens that it covers.
    pub tokens: u64,
}

/// Asks an engine to fetch an export into its own cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImport {
    /// Engine that holds the export.
    pub from: SocketAddr,
    /// The export.
    pub handle: u64,
    /// Hash of the prefix.
    pub prefix_hash: u64,
    /// Tokens that it covers.
    pub tokens: u64,
    /// The daemon that asks.
    pub owner: Incarnation,
}
