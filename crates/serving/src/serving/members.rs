//! The other instances, the links to them and the heartbeats.

use {
    super::{Recipients, Serving},
    crate::{
        fleet::{Frame, HeartbeatFrame, Member, Roster, RosterRows},
        targets::TargetEntry,
    },
    std::{collections::HashSet, net::SocketAddr},
    whinlatch_core::MonoMs,
};

/// Time between heartbeats in a small fleet, in ms.
const HEARTBEAT_INTERVAL_MS: u64 = 250;
/// Time between heartbeats in a large fleet, in ms. Three missing heartbeats are noticed within two
/// seconds, and a hub sends and receives half as many as at the rate of a small fleet.
const LARGE_FLEET_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Number of heartbeats in a large fleet of which one goes over all links; the others go only to and from hubs. Who is
/// alive is known through hubs, so the links to deciders, which are most of them, need heartbeats only to stay open.
const FULL_HEARTBEAT_PERIOD: u64 = 4;
/// Maximum number of peer addresses in a heartbeat. The greeting of each link has them without this limit, so
/// heartbeats only fill gaps that lost links left.
const MAX_HEARTBEAT_ADDRESSES: usize = 4;

/// A heartbeat of an instance, and the links over which it goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// The frame to send.
    pub frame: Frame,
    /// The links over which it goes.
    pub reach: HeartbeatReach,
}

/// The links over which a heartbeat goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatReach {
    /// All links.
    AllLinks,
    /// The links from and to hubs. Relays that the sender follows get it as well.
    HubLinks,
}

/// The peers to which an instance should have a link, by who needs it.
#[derive(Debug, Default)]
pub struct WantedLinks {
    /// Links that this instance needs itself; it requests a link back from the peer.
    pub own: HashSet<SocketAddr>,
    /// Links that only the peer has requested.
    pub requested: HashSet<SocketAddr>,
}

impl Serving {
    /// Returns the address at which peers link to this instance.
    pub fn peer_address(&self) -> SocketAddr {
        self.own.peer_address
    }

    /// Returns the number of peers that are considered alive.
    pub fn live_peer_count(&self, now: MonoMs) -> usize {
        self.members.live_members(now).count()
    }

    /// Replaces the addresses of the settings at which peers may be found.
    pub fn set_seeds(&mut self, addresses: &[SocketAddr]) {
        self.members.set_seeds(self.own.peer_address, addresses);
    }

    /// Returns the state of this instance as it reports it to peers.
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

    /// Returns the links to open or keep: to peers that this instance needs or follows, and to those that
    /// requested one.
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
        let requesters = self.members.link_requesters(now);
        let requested = requesters
            .filter(|address| !own.contains(address))
            .collect();
        WantedLinks { own, requested }
    }

    /// Returns whether this instance is a hub, which sends a roster of the live members to all others.
    pub fn is_hub(&self) -> bool {
        let hubs = self.members.ranks().hubs();
        hubs.contains(&self.own.peer_address)
    }

    /// Returns the engines whose reports this instance should read for the fleet: those of the groups of
    /// which it is the first decider that isn't cut off from the targets.
    ///
    /// A report counts towards the limit of an engine that is short of capacity, which is better left to
    /// callers. An engine with a limit is therefore left out while answers have recently confirmed the
    /// limit.
    pub fn reported_engines(&self, now: MonoMs) -> Vec<TargetEntry> {
        let cut_off = self.cut_off_instances(now);
        let groups: Vec<_> = (0..self.groups.count())
            .map(|number| self.groups.group(number))
            .filter(|group| {
                let deciders = self.members.ranks().deciders(*group);
                let first = deciders.iter().find(|decider| !cut_off.contains(*decider));
                first == Some(&self.own.peer_address)
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

    /// Returns the first frame of a link to a peer: the state of this instance, the addresses of peers, requests that are
    /// poison, the targets that leave or have a limit, and the roster, which is empty unless this instance is a hub.
    pub fn greeting(&self, now: MonoMs, to: SocketAddr, requests_link: bool) -> Frame {
        let mut requests = self.follow_requests(now).into_iter();
        let heartbeat = HeartbeatFrame {
            follow_request: requests.find_map(|(relay, follow)| (relay == to).then_some(follow)),
            ..self.heartbeat_fields(now, requests_link)
        };
        let roster = self.members.full_roster(now, self.own.peer_address);
        Frame {
            member: Some(self.own_member(now)),
            heartbeat: Some(heartbeat),
            peers: self.members.addresses_to_report(now),
            condemned: self.condemnations_to_greet_with(now),
            condemned_parts: self.condemned_parts_to_greet_with(now),
            leaving: self.targets.leaving(),
            reach: self.reach_statements(now),
            limits: self.notices.limits(),
            ..roster_frame(roster, self.members.reads_rows(to))
        }
    }

    /// Returns whether a heartbeat should be sent ahead of time, because this instance has started or stopped
    /// serving. Until peers know that it serves they don't name it to callers, and until they know that it
    /// doesn't they still do.
    pub fn is_heartbeat_due(&self) -> bool {
        self.last_stated
            .as_ref()
            .is_some_and(|stated| stated.ready != self.is_ready())
    }

    /// Returns whether a hub should send a roster ahead of time.
    pub fn is_roster_due(&self) -> bool {
        self.is_roster_due
    }

    /// Returns whether this instance or a peer is a hub.
    pub fn is_hub_link(&self, peer: SocketAddr) -> bool {
        self.is_hub() || self.members.ranks().hubs().contains(&peer)
    }

    /// Returns the next heartbeat: the versions that this instance knows, its own state if it changed, and, if it goes
    /// over all links, the addresses of a few random peers. The first responsive hub adds its view of plain targets.
    ///
    /// It goes over all links in a small fleet, while the instance is starting, since instances that start together find
    /// each other by the addresses in heartbeats, and when its state has changed, since there may be no hub to tell
    /// the others.
    pub fn heartbeat(&mut self, now: MonoMs, is_starting: bool) -> Heartbeat {
        let own = self.own_member(now);
        let has_changed = !self
            .last_stated
            .as_ref()
            .is_some_and(|stated| stated.is_same_state(&own));
        self.last_stated = Some(own.clone());
        let is_periodic = self.heartbeat_number.is_multiple_of(FULL_HEARTBEAT_PERIOD);
        self.heartbeat_number += 1;
        let goes_to_all = is_starting || has_changed || is_periodic || !self.members.is_large();
        let (reach, peers) = if goes_to_all {
            (HeartbeatReach::AllLinks, self.random_addresses(now))
        } else {
            (HeartbeatReach::HubLinks, Vec::new())
        };
        let frame = Frame {
            member: has_changed.then_some(own),
            heartbeat: Some(self.heartbeat_fields(now, false)),
            peers,
            call_picture: self.call_picture_to_send(now),
            ..Frame::default()
        };
        Heartbeat { frame, reach }
    }

    /// Returns the addresses of a few random peers.
    fn random_addresses(&mut self, now: MonoMs) -> Vec<SocketAddr> {
        let mut peers = self.members.addresses_to_report(now);
        self.rng.shuffle(&mut peers);
        peers.truncate(MAX_HEARTBEAT_ADDRESSES);
        peers
    }

    /// Returns the time between two heartbeats, in ms.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        if self.members.is_large() {
            LARGE_FLEET_HEARTBEAT_INTERVAL_MS
        } else {
            HEARTBEAT_INTERVAL_MS
        }
    }

    fn heartbeat_fields(&self, now: MonoMs, requests_link: bool) -> HeartbeatFrame {
        HeartbeatFrame {
            version: self.version(),
            revision: self.targets.revision(),
            requests_link,
            engine_groups: self.groups.count(),
            settled_revision: self.settled_revision_to_report(now),
            follow_request: None,
        }
    }

    /// Returns a hub's roster changes since the last call, in the forms that its peers read, and the receivers of
    /// each; empty if nothing has changed.
    pub fn roster_news(&mut self, now: MonoMs) -> Vec<(Recipients, Frame)> {
        self.is_roster_due = false;
        let own = self.own.peer_address;
        let Some(roster) = self.members.roster_changes(now, own) else {
            return Vec::new();
        };
        let mut news = vec![(Recipients::All, roster_frame(roster.clone(), true))];
        let former_readers = self.members.former_readers();
        if !former_readers.is_empty() {
            let frame = roster_frame(roster, false);
            news.push((Recipients::Peers(former_readers), frame));
        }
        news
    }

    /// Records that the link to a peer broke, which makes the peer suspect.
    pub fn on_link_lost(&mut self, now: MonoMs, address: SocketAddr) {
        self.members.suspect(now, address);
    }
}

/// Returns a frame with a roster, in the compact form if the receiver reads it.
fn roster_frame(roster: Roster, reads_rows: bool) -> Frame {
    Frame {
        roster_rows: reads_rows.then(|| RosterRows::from(&roster)),
        roster: (!reads_rows).then_some(roster),
        ..Frame::default()
    }
}
