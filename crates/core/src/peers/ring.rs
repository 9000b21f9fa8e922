use {
    std::{collections::BTreeSet, net::SocketAddr},
    whinlatch_wire::ids::FailureDomain,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Largest fleet in which each daemon links to every other.
pub const MAX_FULL_MESH_DAEMONS: usize = 10;
/// Links that each daemon picks by rendezvous hashing in a larger fleet: one in each other failure
/// domain, and the rest, at least one, in its own.
const RENDEZVOUS_PICKS: usize = 4;

/// A daemon on the ring: its peer address and failure domain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RingNode {
    /// Hash of the address, which orders the ring.
    hash: u64,
    /// Address at which peers link to it.
    pub address: SocketAddr,
    /// Failure domain that it announced.
    pub domain: FailureDomain,
}

impl RingNode {
    /// Creates the ring entry of a daemon.
    pub fn new(address: SocketAddr, domain: &FailureDomain) -> Self {
        Self {
            hash: xxh3_64(address.to_string().as_bytes()),
            address,
            domain: domain.clone(),
        }
    }

    /// Returns the rendezvous weight of another daemon for this one.
    fn weight_of(&self, other: &Self) -> u64 {
        xxh3_64_with_seed(&other.hash.to_be_bytes(), self.hash)
    }
}

/// All daemons in the order of the hashes of their addresses. The links follow from it alone, so
/// that daemons with the same view agree on them. Each daemon links to the next one of its failure
/// domain, which keeps the domain connected, and to a few that it picks by rendezvous hashing, at
/// least one in each failure domain, which keeps paths short. The number of links per daemon
/// doesn't grow with the fleet, and a daemon that joins or leaves changes only its own links.
#[derive(Debug, Default)]
pub struct Ring {
    nodes: BTreeSet<RingNode>,
    domains: BTreeSet<FailureDomain>,
}

impl Ring {
    /// Creates a ring of these daemons.
    pub fn new(nodes: impl IntoIterator<Item = RingNode>) -> Self {
        let nodes: BTreeSet<RingNode> = nodes.into_iter().collect();
        let domains = nodes.iter().map(|node| node.domain.clone()).collect();
        Self { nodes, domains }
    }

    /// Returns the number of daemons on the ring.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether the ring has no daemons.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the addresses of the daemons to which `own` links.
    pub fn neighbours(&self, own: &RingNode) -> BTreeSet<SocketAddr> {
        let others = || {
            let after = self.nodes.range(own..);
            let before = self.nodes.range(..own);
            after.chain(before).filter(|node| *node != own)
        };
        if self.nodes.len() <= MAX_FULL_MESH_DAEMONS {
            return others().map(|node| node.address).collect();
        }
        let next = others().find(|node| node.domain == own.domain);
        let mut neighbours: BTreeSet<SocketAddr> =
            next.map(|node| node.address).into_iter().collect();
        let own_domain_picks = RENDEZVOUS_PICKS
            .saturating_sub(self.domains.len() - 1)
            .max(1);
        for domain in &self.domains {
            let count = if *domain == own.domain {
                own_domain_picks
            } else {
                1
            };
            let mut picks: Vec<(u64, SocketAddr)> = others()
                .filter(|node| node.domain == *domain)
                .map(|node| (own.weight_of(node), node.address))
                .collect();
            picks.sort_unstable_by(|one, other| other.cmp(one));
            neighbours.extend(picks.iter().take(count).map(|(_, address)| *address));
        }
        neighbours
    }

    /// Returns the addresses of the daemons that `own` links to and of those that link to it.
    pub fn linked_with(&self, own: &RingNode) -> BTreeSet<SocketAddr> {
        let mut linked = self.neighbours(own);
        let others = self.nodes.iter().filter(|node| *node != own);
        for node in others {
            if self.neighbours(node).contains(&own.address) {
                linked.insert(node.address);
            }
        }
        linked
    }
}
