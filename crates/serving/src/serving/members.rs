//! Which other instances there are, and which links are kept to them.

use {
    super::Serving,
    crate::{
        fleet::{Frame, HeartbeatFrame, Member},
        targets::TargetEntry,
    },
    std::{collections::HashSet, net::SocketAddr},
    whinlatch_core::MonoMs,
};

/// Time between heartbeats in a small fleet, in ms.
const BEAT_MS: u64 = 250;
/// Time between heartbeats in a large fleet, in ms: three of them that fail to come are noticed within
/// two seconds, and a hub has half as many to send and hear as at a small fleet's rate.
const LARGE_FLEET_BEAT_MS: u64 = 500;
/// Addresses that a heartbeat tells. A link begins with all of them, so that these only mend what a
/// lost link kept from somebody.
const BEAT_ADDRESSES: usize = 4;

/// The links that an instance is to have.
#[derive(Debug, Default)]
pub struct WantedLinks {
    /// Those that it wants for a reason of its own; the peer is asked to link back.
    pub own: HashSet<SocketAddr>,
    /// Those that only the peer has asked for.
    pub asked: HashSet<SocketAddr>,
}

impl Serving {
    /// Address at which peers link to this instance.
    pub fn peer_address(&self) -> SocketAddr {
        self.own.peer_address
    }

    /// Number of peers that are taken for alive.
    pub fn live_peer_count(&self, now: MonoMs) -> usize {
        self.members.live_members(now).count()
    }

    /// Takes in addresses at which peers may be found, as the settings have them.
    pub fn add_seeds(&mut self, addresses: &[SocketAddr]) {
        self.members.add_seeds(self.own.peer_address, addresses);
    }

    /// What this instance says of itself.
    pub fn own_member(&self, now: MonoMs) -> Member {
        Member {
            ready: self.is_ready(),
            version: self.version(),
            revision: self.targets.revision(),
            heartbeat_interval_ms: self.heartbeat_interval_ms(),
            stated_at_ms: now.0,
            ..self.own.clone()
        }
    }

    /// The links to keep.
    pub fn wanted_links(&self, now: MonoMs) -> WantedLinks {
        let own_address = self.own.peer_address;
        let mut own = self
            .members
            .needed_links(now, own_address, &self.own_groups());
        own.extend(
            self.follow_requests(now)
                .into_iter()
                .map(|(relay, _)| relay),
        );
        let asking = self.members.link_requesters(now);
        let asked = asking.filter(|address| !own.contains(address)).collect();
        WantedLinks { own, asked }
    }

    /// Whether this instance tells all others who is alive.
    pub fn is_hub(&self) -> bool {
        let hubs = self.members.ranks().hubs();
        hubs.contains(&self.own.peer_address)
    }

    /// The engines whose reports this instance is to read for all: those of the groups for which it
    /// is the first that chooses.
    ///
    /// A report counts towards the limit of an engine in need, which is better left to callers. It is read only if
    /// nothing else has told for a while whether the limit still holds.
    pub fn reported_engines(&self, now: MonoMs) -> Vec<TargetEntry> {
        let groups: Vec<_> = (0..self.groups.count())
            .map(|number| self.groups.group(number))
            .filter(|group| {
                let deciders = self.members.ranks().deciders(*group);
                deciders.first() == Some(&self.own.peer_address)
            })
            .collect();
        self.targets
            .all_ready()
            .filter(|entry| groups.iter().any(|group| group.contains(&entry.id)))
            .filter(|entry| self.spec_of_service(&entry.service).is_some())
            .filter(|entry| !self.notices.is_limit_confirmed(now, &entry.id))
            .cloned()
            .collect()
    }

    /// What a link to a peer begins with: this instance, where peers link, and whom it hears.
    pub fn greeting(&self, now: MonoMs, to: SocketAddr, asks_for_link: bool) -> Frame {
        let mut follows = self.follow_requests(now).into_iter();
        let beat = HeartbeatFrame {
            follow_request: follows.find_map(|(relay, follow)| (relay == to).then_some(follow)),
            ..self.heartbeat_part(asks_for_link)
        };
        Frame {
            member: Some(self.own_member(now)),
            heartbeat: Some(beat),
            peers: self.members.addresses_to_report(now),
            leaving: self.targets.leaving(),
            limits: self.notices.limits(),
            roster: Some(self.members.full_roster(now, self.own.peer_address)),
            ..Frame::default()
        }
    }

    /// Whether a heartbeat is due ahead of time, since this instance began or ceased to serve: until
    /// its peers know, callers aren't sent to it, or still are.
    pub fn is_heartbeat_due(&self) -> bool {
        self.told
            .as_ref()
            .is_some_and(|told| told.ready != self.is_ready())
    }

    /// Whether a hub has something to tell ahead of time.
    pub fn is_roster_due(&self) -> bool {
        self.is_roster_due
    }

    /// A heartbeat: what this instance knows, what has changed of it, and where a few of its peers
    /// link, others each time.
    pub fn heartbeat(&mut self, now: MonoMs) -> Frame {
        let own = self.own_member(now);
        let is_news = !self
            .told
            .as_ref()
            .is_some_and(|told| told.is_same_state(&own));
        self.told = Some(own.clone());
        let mut peers = self.members.addresses_to_report(now);
        self.rng.shuffle(&mut peers);
        peers.truncate(BEAT_ADDRESSES);
        Frame {
            member: is_news.then_some(own),
            heartbeat: Some(self.heartbeat_part(false)),
            peers,
            ..Frame::default()
        }
    }

    /// Time between two heartbeats, in ms.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        if self.members.is_large() {
            LARGE_FLEET_BEAT_MS
        } else {
            BEAT_MS
        }
    }

    fn heartbeat_part(&self, asks_for_link: bool) -> HeartbeatFrame {
        HeartbeatFrame {
            version: self.version(),
            revision: self.targets.revision(),
            requests_link: asks_for_link,
            engine_groups: self.groups.count(),
            follow_request: None,
        }
    }

    /// What a hub has to tell all of who is alive.
    pub fn roster_news(&mut self, now: MonoMs) -> Option<Frame> {
        self.is_roster_due = false;
        let own = self.own.peer_address;
        let roster = self.members.roster_changes(now, own)?;
        Some(Frame {
            roster: Some(roster),
            ..Frame::default()
        })
    }

    /// A link to a peer broke.
    pub fn on_link_lost(&mut self, now: MonoMs, address: SocketAddr) {
        self.members.suspect(now, address);
    }
}
