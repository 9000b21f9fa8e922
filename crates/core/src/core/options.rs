use {
    std::net::SocketAddr,
    whinlatch_wire::{
        ids::{FailureDomain, Incarnation, InstanceName},
        peer::{MemberNews, MemberState},
    },
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

impl CoreOptions {
    /// What a daemon that has just started tells of itself.
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
