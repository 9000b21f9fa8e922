use {
    std::net::SocketAddr,
    whinlatch_wire::ids::{FailureDomain, Incarnation, InstanceName},
};

/// What a daemon knows of itself when it starts.
#[derive(Debug, Clone)]
pub struct CoreOptions {
    /// Its instance.
    pub instance: InstanceName,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// This run, drawn at random.
    pub incarnation: Incarnation,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Its address for peers.
    pub peer_address: SocketAddr,
    /// Peer addresses of some other daemons.
    pub seed_peers: Vec<SocketAddr>,
    /// Seed of all chance.
    pub seed: u64,
}
