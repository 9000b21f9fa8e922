//! Which links there are to be, and the end of those that fell silent or aren't wanted.

use {
    super::Core,
    crate::{
        action::Action,
        peers::{MAX_FULL_MESH_DAEMONS, Ring, RingNode},
        time::MonoMs,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
    whinlatch_wire::{
        ids::{FailureDomain, Incarnation},
        peer::MemberState,
        platform::ListedState,
    },
};

/// Time between two looks at which links there are to be, in ms.
const REFRESH_MS: u64 = 1_000;
/// Time for which one of the daemons outside the ring is tried, in ms.
const PROBE_MS: u64 = 5_000;

/// The links that there are to be.
#[derive(Debug, Default)]
pub(super) struct Wanted {
    addresses: BTreeSet<SocketAddr>,
    ring: RingLinks,
    refreshed: Option<MonoMs>,
}

/// The links on the ring, kept until the ring changes: working them out weighs each daemon against
/// each.
#[derive(Debug, Default)]
struct RingLinks {
    places: BTreeMap<SocketAddr, FailureDomain>,
    links: BTreeSet<SocketAddr>,
}

impl RingLinks {
    fn follow(&mut self, own: &RingNode, places: BTreeMap<SocketAddr, FailureDomain>) {
        if self.places == places {
            return;
        }
        let others = places
            .iter()
            .map(|(address, domain)| RingNode::new(*address, domain));
        self.links = Ring::new(others.chain([own.clone()])).linked_with(own);
        self.places = places;
    }
}

impl Wanted {
    pub(super) fn contains(&self, address: SocketAddr) -> bool {
        self.addresses.contains(&address)
    }
}

impl Core {
    pub(super) fn open_links(&mut self, now: MonoMs) {
        self.notice_pause(now);
        self.renew_silent_links(now);
        let due = self
            .wanted
            .refreshed
            .is_none_or(|at| now.since(at) >= REFRESH_MS);
        if due {
            self.wanted.addresses = self.wanted_links(now);
            self.wanted.refreshed = Some(now);
            for peer in self.links.excess_links(now, &self.wanted.addresses) {
                self.close_link(peer, true);
            }
        }
        let own = self.options.peer_address;
        for address in self
            .links
            .addresses_to_open(now, own, &self.wanted.addresses)
        {
            self.act(Action::Link { address });
        }
    }

    /// A daemon that was paused has heard nobody. It wakes with a view in which all others are
    /// silent, would cut its links and tell that they are dead; so it doubts itself first.
    pub(super) fn notice_pause(&mut self, now: MonoMs) {
        if self.members.detect_pause(now) {
            self.members.on_process_resumed(now);
            self.links.reset_silence(now);
        }
    }

    /// Closes links that fell silent; they are opened afresh, and only if that fails too is the
    /// peer suspected.
    fn renew_silent_links(&mut self, now: MonoMs) {
        for peer in self.links.silent_peers(now) {
            let address = self
                .members
                .get(peer)
                .map(|member| member.news.peer_address);
            self.close_link(peer, false);
            if let Some(address) = address {
                self.links.retry_immediately(now, address);
            }
        }
    }

    fn close_link(&mut self, peer: Incarnation, on_purpose: bool) {
        self.links.on_closed(Some(peer));
        self.members.on_link_closed(peer, on_purpose);
        self.pulls.on_link_closed(peer);
        self.act(Action::Unlink { peer });
    }

    fn wanted_links(&mut self, now: MonoMs) -> BTreeSet<SocketAddr> {
        let own = RingNode::new(self.options.peer_address, &self.options.failure_domain);
        let (sure, doubtful) = self.places();
        let small = sure.len() + doubtful.len() < MAX_FULL_MESH_DAEMONS;
        let mut wanted = if small {
            sure.keys().chain(doubtful.iter()).copied().collect()
        } else {
            self.wanted.ring.follow(&own, sure);
            let mut wanted = self.wanted.ring.links.clone();
            // Suspected daemons have no place on the ring. One at a time is tried, so that the
            // sides of a partition find each other when it ends.
            let turn = (now.0 / PROBE_MS) as usize;
            let probe = turn.checked_rem(doubtful.len());
            wanted.extend(probe.and_then(|turn| doubtful.iter().nth(turn)));
            wanted
        };
        if small || self.links.is_empty() {
            wanted.extend(&self.options.seed_peers);
        }
        wanted.remove(&own.address);
        wanted
    }

    /// Addresses at which daemons are held to serve, and those at which one may.
    fn places(&self) -> (BTreeMap<SocketAddr, FailureDomain>, BTreeSet<SocketAddr>) {
        let mut sure: BTreeMap<SocketAddr, FailureDomain> = BTreeMap::new();
        let listed = self.list.iter().flat_map(|list| &list.daemons);
        for daemon in listed.filter(|daemon| daemon.state == ListedState::Live) {
            sure.insert(daemon.peer_address, daemon.failure_domain.clone());
        }
        let mut doubtful = BTreeSet::new();
        for member in self.members.iter() {
            let address = member.news.peer_address;
            match member.news.state {
                MemberState::Suspect => {
                    sure.remove(&address);
                    doubtful.insert(address);
                }
                MemberState::Alive | MemberState::Leaving | MemberState::Dead => {}
            }
        }
        // Last, since a new run may serve at the address of one that is suspected or dead.
        for member in self.members.alive() {
            sure.insert(member.news.peer_address, member.domain().clone());
            doubtful.remove(&member.news.peer_address);
        }
        sure.remove(&self.options.peer_address);
        (sure, doubtful)
    }
}
