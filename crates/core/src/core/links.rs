//! Links to peers: which ones to open, and closing of those that are silent or no longer wanted.

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

/// Interval at which the wanted links are recomputed, in ms.
const WANTED_REFRESH_INTERVAL_MS: u64 = 1_000;
/// Interval after which the next suspected daemon is probed, in ms.
const PROBE_INTERVAL_MS: u64 = 5_000;

/// Peers to which links should be open.
#[derive(Debug, Default)]
pub(super) struct WantedLinks {
    addresses: BTreeSet<SocketAddr>,
    ring: RingLinks,
    refreshed_at: Option<MonoMs>,
}

/// This daemon's links on the ring, cached until the ring changes, since computing them compares each
/// daemon with each other.
#[derive(Debug, Default)]
struct RingLinks {
    nodes: BTreeMap<SocketAddr, FailureDomain>,
    links: BTreeSet<SocketAddr>,
}

impl RingLinks {
    fn update(&mut self, own: &RingNode, nodes: BTreeMap<SocketAddr, FailureDomain>) {
        if self.nodes == nodes {
            return;
        }
        let others = nodes
            .iter()
            .map(|(address, domain)| RingNode::new(*address, domain));
        self.links = Ring::new(others.chain([own.clone()])).linked_with(own);
        self.nodes = nodes;
    }
}

impl WantedLinks {
    pub(super) fn contains(&self, address: SocketAddr) -> bool {
        self.addresses.contains(&address)
    }
}

impl Core {
    pub(super) fn update_links(&mut self, now: MonoMs) {
        self.detect_pause(now);
        self.close_silent_links(now);
        let due = self
            .wanted_links
            .refreshed_at
            .is_none_or(|at| now.since(at) >= WANTED_REFRESH_INTERVAL_MS);
        if due {
            self.wanted_links.addresses = self.compute_wanted_links(now);
            self.wanted_links.refreshed_at = Some(now);
            for peer in self.links.excess_links(now, &self.wanted_links.addresses) {
                self.close_link(peer, true);
            }
        }
        let own = self.options.peer_address;
        for address in self
            .links
            .addresses_to_open(now, own, &self.wanted_links.addresses)
        {
            self.emit(Action::Link { address });
        }
    }

    /// Detects a pause of this process, and then restarts the silence timeouts of all peers.
    ///
    /// Guards against false reports after a pause: a paused process receives nothing, so all peers look
    /// silent when it resumes, and it would close its links and report live daemons as dead.
    pub(super) fn detect_pause(&mut self, now: MonoMs) {
        if self.members.detect_pause(now) {
            self.members.on_process_resumed(now);
            self.links.reset_silence(now);
        }
    }

    /// Closes silent links and reopens them. A peer is suspected only if that fails too.
    fn close_silent_links(&mut self, now: MonoMs) {
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
        self.emit(Action::Unlink { peer });
    }

    fn compute_wanted_links(&mut self, now: MonoMs) -> BTreeSet<SocketAddr> {
        let own = RingNode::new(self.options.peer_address, &self.options.failure_domain);
        let (live, suspected) = self.peer_addresses();
        let full_mesh = live.len() + suspected.len() < MAX_FULL_MESH_DAEMONS;
        let mut wanted = if full_mesh {
            live.keys().chain(suspected.iter()).copied().collect()
        } else {
            self.wanted_links.ring.update(&own, live);
            let mut wanted = self.wanted_links.ring.links.clone();
            // Suspected daemons aren't on the ring. They are probed one at a time, so that the sides of
            // a network partition find each other when it ends.
            let turn = (now.0 / PROBE_INTERVAL_MS) as usize;
            let probe = turn.checked_rem(suspected.len());
            wanted.extend(probe.and_then(|turn| suspected.iter().nth(turn)));
            wanted
        };
        if full_mesh || self.links.is_empty() {
            wanted.extend(&self.options.seed_peers);
        }
        wanted.remove(&own.address);
        wanted
    }

    /// Returns the addresses of daemons that are considered live, with their failure domains, and the
    /// addresses of suspected ones.
    fn peer_addresses(&self) -> (BTreeMap<SocketAddr, FailureDomain>, BTreeSet<SocketAddr>) {
        let mut live: BTreeMap<SocketAddr, FailureDomain> = BTreeMap::new();
        let listed = self.instance_list.iter().flat_map(|list| &list.daemons);
        for daemon in listed.filter(|daemon| daemon.state == ListedState::Live) {
            live.insert(daemon.peer_address, daemon.failure_domain.clone());
        }
        let mut suspected = BTreeSet::new();
        for member in self.members.iter() {
            let address = member.news.peer_address;
            match member.news.state {
                MemberState::Suspect => {
                    live.remove(&address);
                    suspected.insert(address);
                }
                MemberState::Alive | MemberState::Leaving | MemberState::Dead => {}
            }
        }
        // Live members come last, since a new run may use the address of a suspected or dead one.
        for member in self.members.alive() {
            live.insert(member.news.peer_address, member.domain().clone());
            suspected.remove(&member.news.peer_address);
        }
        live.remove(&self.options.peer_address);
        (live, suspected)
    }
}
