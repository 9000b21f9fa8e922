use {
    std::{collections::BTreeSet, net::SocketAddr},
    whinlatch_wire::ids::FailureDomain,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Largest fleet in which each daemon links to every other.
pub const FULL_MESH: usize = 10;
/// Links that each daemon picks by rendezvous hashing in a larger fleet: one in each other failure
/// domain, and the rest, at least one, in its own.
const RENDEZVOUS_PICKS: usize = 4;

/// A daemon on the ring: its peer address and failure domain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Hash of the address, which orders the ring.
    hash: u64,
    /// Address at which peers link to it.
    pub address: SocketAddr,
    /// Failure domain that it announced.
    pub domain: FailureDomain,
}

impl Place {
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
    places: BTreeSet<Place>,
    domains: BTreeSet<FailureDomain>,
}

impl Ring {
    /// Creates a ring of these daemons.
    pub fn new(places: impl IntoIterator<Item = Place>) -> Self {
        let places: BTreeSet<Place> = places.into_iter().collect();
        let domains = places.iter().map(|place| place.domain.clone()).collect();
        Self { places, domains }
    }

    /// Returns the number of daemons on the ring.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether the ring has no daemons.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the addresses of the daemons to which `own` links.
    pub fn neighbours(&self, own: &Place) -> BTreeSet<SocketAddr> {
        let others = || {
            let after = self.places.range(own..);
            let before = self.places.range(..own);
            after.chain(before).filter(|place| *place != own)
        };
        if self.places.len() <= FULL_MESH {
            return others().map(|place| place.address).collect();
        }
        let next = others().find(|place| place.domain == own.domain);
        let mut neighbours: BTreeSet<SocketAddr> =
            next.map(|place| place.address).into_iter().collect();
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
                .filter(|place| place.domain == *domain)
                .map(|place| (own.weight_of(place), place.address))
                .collect();
            picks.sort_unstable_by(|one, other| other.cmp(one));
            neighbours.extend(picks.iter().take(count).map(|(_, address)| *address));
        }
        neighbours
    }

    /// Returns the addresses of the daemons that `own` links to and of those that link to it.
    pub fn linked_with(&self, own: &Place) -> BTreeSet<SocketAddr> {
        let mut linked = self.neighbours(own);
        let others = self.places.iter().filter(|place| *place != own);
        for place in others {
            if self.neighbours(place).contains(&own.address) {
                linked.insert(place.address);
            }
        }
        linked
    }
}
