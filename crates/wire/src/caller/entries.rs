use {
    crate::ids::FailureDomain,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Response of `GET /v1/entries`: the addresses that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// Entry instances, best first.
    pub entries: Vec<Entry>,
    /// Time for which the response may be cached, in ms.
    pub ttl_ms: u64,
}

/// An instance that accepts requests from callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Failure domain that the instance runs in.
    pub failure_domain: FailureDomain,
}
