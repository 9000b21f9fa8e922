use {
    std::net::SocketAddr,
    whinlatch_wire::{
        ids::{FailureDomain, Incarnation, InstanceName},
        peer::{MemberNews, MemberState},
    },
};

/// Identity, addresses and random seed of a daemon at its start.
#[derive(Debug, Clone)]
pub struct CoreOptions {
    /// Name of the instance that the daemon runs on; it stays the same across restarts.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Id of this run of the daemon, drawn at random at each start.
    pub incarnation: Incarnation,
    /// Address at which callers reach the daemon.
    pub caller_address: SocketAddr,
    /// Address at which peers reach the daemon.
    pub peer_address: SocketAddr,
    /// Addresses at which to look for the first peers.
    pub seed_peers: Vec<SocketAddr>,
    /// Seed of the core's random numbers.
    pub seed: u64,
}

impl CoreOptions {
    /// Returns the first announcement of the daemon to its peers.
    pub(crate) fn as_news(&self) -> MemberNews {
        MemberNews {
            incarnation: self.incarnation,
            instance: self.instance.clone(),
            failure_domain: self.failure_domain.clone(),
            caller_address: self.caller_address,
            peer_address: self.peer_address,
            version: 0,
            state: MemberState::Alive,
        }
    }
}
