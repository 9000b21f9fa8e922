use {
    std::{collections::BTreeSet, net::SocketAddr},
    whinlatch_wire::ids::FailureDomain,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Up to so many daemons each is linked to each.
pub const FULL_MESH: usize = 10;
/// Daemons that each picks by hash in a larger fleet: one in each other failure domain, the rest,
/// one at least, in its own.
const PICKS: usize = 4;

/// Where a daemon stands: its peer address and failure domain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Hash of the address: the place on the ring.
    hash: u64,
    /// Its address for peers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
}

impl Place {
    /// A daemon's place.
    pub fn new(address: SocketAddr, domain: &FailureDomain) -> Self {
        Self {
            hash: xxh3_64(address.to_string().as_bytes()),
            address,
            domain: domain.clone(),
        }
    }

    /// How much this daemon prefers another.
    fn weight_of(&self, other: &Self) -> u64 {
        xxh3_64_with_seed(&other.hash.to_be_bytes(), self.hash)
    }
}

/// All daemons in the order of the hashes of their addresses. Which links there are follows from
/// it alone, so that daemons with one view agree on them. Each daemon links to the next one of its
/// failure domain, which keeps the domain in one piece, and to a few that it picks by rendezvous
/// hashing, at least one in each failure domain, which make the ways short. The number of links
/// doesn't grow with the fleet, and a daemon that comes or goes changes only its own.
#[derive(Debug, Default)]
pub struct Ring {
    places: BTreeSet<Place>,
    domains: BTreeSet<FailureDomain>,
}

impl Ring {
    /// A ring of these daemons.
    pub fn new(places: impl IntoIterator<Item = Place>) -> Self {
        let places: BTreeSet<Place> = places.into_iter().collect();
        let domains = places.iter().map(|place| place.domain.clone()).collect();
        Self { places, domains }
    }

    /// Daemons on the ring.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nobody is on the ring.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The daemons to which `own` links.
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
        let picks_here = PICKS.saturating_sub(self.domains.len() - 1).max(1);
        for domain in &self.domains {
            let count = if *domain == own.domain { picks_here } else { 1 };
            let mut picks: Vec<(u64, SocketAddr)> = others()
                .filter(|place| place.domain == *domain)
                .map(|place| (own.weight_of(place), place.address))
                .collect();
            picks.sort_unstable_by(|one, other| other.cmp(one));
            neighbours.extend(picks.iter().take(count).map(|(_, address)| *address));
        }
        neighbours
    }

    /// The daemons to which `own` links and those that link to it.
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
