use {
    crate::ids::FailureDomain,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The addresses that a caller may use, best first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The entry instances.
    pub entries: Vec<Entry>,
    /// How long the answer may be kept, in ms.
    pub ttl_ms: u64,
}

/// One entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where to connect.
    pub address: SocketAddr,
    /// Failure domain it stands in.
    pub failure_domain: FailureDomain,
}
