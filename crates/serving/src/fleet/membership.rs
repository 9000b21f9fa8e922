use {
    super::{EngineGroup, HeartbeatFrame, KnownMember, Member, Ranks, Roster},
    std::{
        collections::{HashMap, HashSet},
        net::{IpAddr, SocketAddr},
    },
    whinlatch_core::MonoMs,
    xxhash_rust::xxh3::Xxh3,
};

/// Time for which an instance is remembered after it was last seen, in ms. Longer than most network
/// partitions, so that the two parts of a fleet find each other again.
const MEMBER_RETENTION_MS: u64 = 60_000;
/// Time for which a roster counts after its sender went silent, in ms. Other hubs have listed its instances
/// by then, so that they aren't all considered dead at the same time.
const ROSTER_GRACE_MS: u64 = 1_500;
/// Largest fleet in which each instance links to all others and receives all their prompts. The cost grows
/// with the square of the number of instances; at this size it is below a hundredth of a core each.
const MAX_FULL_MESH_INSTANCES: usize = 12;
/// Minimum number of responsive hubs; with fewer, the instance links to its seeds as well.
const MIN_RESPONSIVE_HUBS: usize = 2;
/// Number of instances that are assumed to share the fleet's retry budget until one is known, if there are
/// seeds: an instance that starts cut off from all others must not take the whole budget.
const ASSUMED_FLEET_SIZE: usize = MAX_FULL_MESH_INSTANCES;

/// The other instances of the fleet, by peer address.
#[derive(Debug, Default)]
pub struct Membership {
    known: HashMap<SocketAddr, KnownMember>,
    /// Addresses that peers reported and at which no instance is known yet, and when they were reported.
    learned_addresses: HashMap<SocketAddr, MonoMs>,
    seeds: Vec<SocketAddr>,
    /// Instances as of the last [`Self::roster_changes`]; empty while this instance is no hub.
    announced: HashMap<SocketAddr, Member>,
    ranks: Ranks,
    /// Largest number of instances known at the same time, 0 before any other is known.
    peak_size: usize,
}

impl Membership {
    /// Returns whether the instance is unknown or its state differs from the known one.
    pub fn has_changed(&self, member: &Member) -> bool {
        let known = self.known.get(&member.peer_address);
        known.is_none_or(|known| !known.member.is_same_state(member))
    }

    /// Applies the state that an instance sent of itself. Returns the run that it replaces, if any.
    pub fn apply_member(&mut self, now: MonoMs, member: Member) -> Option<u64> {
        let address = member.peer_address;
        let former = self.upsert(now, member);
        if let Some(known) = self.known.get_mut(&address) {
            known.record_frame(now);
        }
        former
    }

    /// Inserts or updates the state of an instance. Returns the run that it replaces, if any.
    fn upsert(&mut self, now: MonoMs, member: Member) -> Option<u64> {
        let address = member.peer_address;
        self.learned_addresses.remove(&address);
        let former = if let Some(known) = self.known.get_mut(&address) {
            known.apply_statement(member)
        } else {
            self.known.insert(address, KnownMember::new(now, member));
            None
        };
        self.peak_size = self.peak_size.max(self.known.len() + 1);
        former
    }

    /// Applies the roster of another instance. Returns the runs that were replaced.
    ///
    /// A run that sends frames to this instance takes precedence over a different one in a roster: the
    /// sender of the roster still lists the former run.
    pub fn apply_roster(
        &mut self,
        now: MonoMs,
        own: SocketAddr,
        from: SocketAddr,
        roster: Roster,
    ) -> Vec<u64> {
        let is_gone = |address: &SocketAddr| roster.is_full || roster.gone.contains(address);
        for (address, known) in &mut self.known {
            if is_gone(address) {
                known.listed_by.retain(|lister| *lister != from);
            }
        }
        let mut replaced = Vec::new();
        for member in roster.listed {
            let address = member.peer_address;
            if address == own {
                continue;
            }
            let is_former_run =
                |known: &KnownMember| known.is_responsive(now, 0) && known.member.run != member.run;
            if self.known.get(&address).is_some_and(is_former_run) {
                continue;
            }
            replaced.extend(self.upsert(now, member));
            if let Some(known) = self.known.get_mut(&address)
                && !known.listed_by.contains(&from)
            {
                known.listed_by.push(from);
            }
        }
        replaced
    }

    /// Records a frame of an instance as a sign of life. Returns the instance's peer address, if it is known.
    pub fn record_frame(&mut self, now: MonoMs, run: u64) -> Option<SocketAddr> {
        let mut known = self.known.iter_mut();
        let (address, known) = known.find(|(_, known)| known.member.run == run)?;
        known.record_frame(now);
        Some(*address)
    }

    /// Applies a heartbeat, which leaves the rest of the instance's state unchanged.
    pub fn apply_heartbeat(&mut self, now: MonoMs, address: SocketAddr, heartbeat: HeartbeatFrame) {
        if let Some(known) = self.known.get_mut(&address) {
            known.member.version = known.member.version.max(heartbeat.version);
            known.member.revision = known.member.revision.max(heartbeat.revision);
            known.engine_groups = heartbeat.engine_groups;
            if heartbeat.requests_link {
                known.record_link_request(now);
            }
        }
    }

    /// Marks an instance as suspect after a link to it broke: unless it sends a frame soon, it is
    /// considered dead.
    pub fn suspect(&mut self, now: MonoMs, address: SocketAddr) {
        if let Some(known) = self.known.get_mut(&address) {
            known.suspect(now);
        }
    }

    /// Adds peer addresses that another instance reported. They are dropped if no instance is found there.
    pub fn add_learned_addresses(
        &mut self,
        now: MonoMs,
        own: SocketAddr,
        addresses: &[SocketAddr],
    ) {
        for address in addresses {
            if *address != own && !self.known.contains_key(address) {
                self.learned_addresses.entry(*address).or_insert(now);
            }
        }
    }

    /// Replaces the seed addresses, at which peers may be found. This instance's own is left out.
    pub fn set_seeds(&mut self, own: SocketAddr, addresses: &[SocketAddr]) {
        let others = addresses.iter().filter(|address| **address != own);
        self.seeds = others.copied().collect();
    }

    /// Returns whether there are too many instances for each to link to all others.
    pub fn is_large(&self) -> bool {
        self.known.len() + self.learned_addresses.len() + 1 > MAX_FULL_MESH_INSTANCES
    }

    /// Returns the addresses to which this instance needs links for itself, and which it requests to link
    /// back.
    ///
    /// In a large fleet these are the hubs and the deciders for this instance's `groups`. A hub links to
    /// all instances that it remembers, so that two parts of a partitioned fleet find each other again
    /// without their seeds.
    pub fn needed_links(
        &self,
        now: MonoMs,
        own: SocketAddr,
        groups: &[EngineGroup],
    ) -> HashSet<SocketAddr> {
        let mut needed: HashSet<SocketAddr> = self.learned_addresses.keys().copied().collect();
        let hubs = self.ranks.hubs();
        let is_hub = hubs.contains(&own);
        if is_hub || !self.is_large() {
            needed.extend(self.known.keys());
        }
        let responsive_hubs = hubs
            .iter()
            .filter_map(|hub| self.known.get(hub))
            .filter(|hub| hub.is_responsive(now, 0));
        if is_hub || !self.is_large() || responsive_hubs.count() < MIN_RESPONSIVE_HUBS {
            needed.extend(&self.seeds);
        }
        needed.extend(hubs.iter().copied());
        for group in groups {
            needed.extend(self.ranks.deciders(*group));
        }
        needed.remove(&own);
        needed
    }

    /// Returns the addresses of the instances that have requested a link.
    pub fn link_requesters(&self, now: MonoMs) -> impl Iterator<Item = SocketAddr> {
        self.known
            .iter()
            .filter(move |(_, known)| known.has_requested_link(now))
            .map(|(address, _)| *address)
    }

    /// Returns the addresses to report to peers: in a small fleet those of all live instances, else those
    /// of the hubs.
    pub fn addresses_to_report(&self, now: MonoMs) -> Vec<SocketAddr> {
        if self.is_large() {
            return self.ranks.hubs().to_vec();
        }
        self.live_members(now)
            .map(|member| member.peer_address)
            .collect()
    }

    /// Returns the instances that are considered alive: those that sent a frame recently, and those on the
    /// roster of an instance that did.
    pub fn live_members(&self, now: MonoMs) -> impl Iterator<Item = &Member> {
        let listers: HashSet<SocketAddr> = self
            .known
            .iter()
            .filter(|(_, known)| known.is_responsive(now, ROSTER_GRACE_MS))
            .map(|(address, _)| *address)
            .collect();
        self.known
            .values()
            .filter(move |known| {
                let is_listed = || {
                    known
                        .listed_by
                        .iter()
                        .any(|lister| listers.contains(lister))
                };
                known.is_responsive(now, 0) || is_listed()
            })
            .map(|known| &known.member)
    }

    /// Returns the instances that sent a frame to this one recently.
    pub fn responsive_members(&self, now: MonoMs) -> impl Iterator<Item = &Member> {
        self.known
            .values()
            .filter(move |known| known.is_responsive(now, 0))
            .map(|known| &known.member)
    }

    /// Returns the roster with which a hub begins a link. Empty if this instance is no hub, which withdraws
    /// an earlier one.
    pub fn full_roster(&self, now: MonoMs, own: SocketAddr) -> Roster {
        let listed = if self.ranks.hubs().contains(&own) {
            self.responsive_members(now).cloned().collect()
        } else {
            Vec::new()
        };
        Roster {
            is_full: true,
            listed,
            gone: Vec::new(),
        }
    }

    /// Returns a hub's roster changes since the last call; `None` if nothing changed.
    pub fn roster_changes(&mut self, now: MonoMs, own: SocketAddr) -> Option<Roster> {
        let responsive: HashMap<SocketAddr, Member> = if self.ranks.hubs().contains(&own) {
            self.responsive_members(now)
                .map(|member| (member.peer_address, member.clone()))
                .collect()
        } else {
            HashMap::new()
        };
        let is_news = |member: &&Member| {
            let announced = self.announced.get(&member.peer_address);
            announced.is_none_or(|announced| !announced.is_same_state(member))
        };
        let listed: Vec<Member> = responsive.values().filter(is_news).cloned().collect();
        let gone: Vec<SocketAddr> = self
            .announced
            .keys()
            .filter(|address| !responsive.contains_key(*address))
            .copied()
            .collect();
        self.announced = responsive;
        let roster = Roster {
            is_full: false,
            listed,
            gone,
        };
        (roster != Roster::default()).then_some(roster)
    }

    /// Returns whether an instance reads [`RosterRows`](super::RosterRows), as far as it is known.
    pub fn reads_rows(&self, address: SocketAddr) -> bool {
        let known = self.known.get(&address);
        known.is_some_and(|known| known.member.reads_rows)
    }

    /// Returns the instances that read a [`Roster`] only.
    pub fn former_readers(&self) -> Vec<SocketAddr> {
        let known = self.known.iter();
        known
            .filter(|(_, known)| !known.member.reads_rows)
            .map(|(address, _)| *address)
            .collect()
    }

    /// Returns the roles of the instances as of the last [`Self::rank`].
    pub fn ranks(&self) -> &Ranks {
        &self.ranks
    }

    /// Ranks the instances again. The cost grows with the size of the fleet, so this is called on changes
    /// and a few times a second, not for each prompt.
    ///
    /// Returns whether this instance got a role that it didn't have.
    pub fn rank(&mut self, now: MonoMs, own: &Member) -> bool {
        let alive = self.live_members(now).chain([own]);
        let ranks = Ranks::new(self.is_large(), &own.failure_domain, alive);
        let is_new = ranks.has_new_role(own.peer_address, &self.ranks);
        self.ranks = ranks;
        is_new
    }

    /// Returns the first hub that is responsive, which may be `own`; `None` in a small fleet or if there is none.
    pub fn first_hub(&self, now: MonoMs, own: SocketAddr) -> Option<SocketAddr> {
        let is_responsive = |hub: &SocketAddr| {
            let known = self.known.get(hub);
            *hub == own || known.is_some_and(|known| known.is_responsive(now, 0))
        };
        self.ranks.hubs().iter().copied().find(is_responsive)
    }

    /// Returns the number of engine groups of the first responsive hub; `None` if that is this instance or it
    /// hasn't reported one.
    pub fn hub_group_count(&self, now: MonoMs, own: SocketAddr) -> Option<u32> {
        let first = self.first_hub(now, own)?;
        let count = self.known.get(&first)?.engine_groups;
        (first != own && count > 0).then_some(count)
    }

    /// Returns the runs of the instances that are considered dead; their prompts have ended or are about to.
    pub fn silent_runs(&self, now: MonoMs) -> Vec<u64> {
        let alive: HashSet<u64> = self.live_members(now).map(|member| member.run).collect();
        self.known
            .values()
            .map(|known| known.member.run)
            .filter(|run| !alive.contains(run))
            .collect()
    }

    /// Restarts the silence timeout of all instances after this process was paused and could not receive
    /// frames.
    pub fn reset_silence(&mut self, now: MonoMs) {
        for known in self.known.values_mut() {
            known.reset_silence(now);
        }
    }

    /// Returns the largest number of instances known at the same time, including this one: the number that
    /// shares the retry budget. It doesn't fall when instances go silent, since they may only be cut off
    /// and still use their shares.
    ///
    /// An instance with seeds that has found no other yet assumes `ASSUMED_FLEET_SIZE`.
    pub fn peak_size(&self) -> usize {
        if self.peak_size == 0 && !self.seeds.is_empty() {
            return ASSUMED_FLEET_SIZE;
        }
        self.peak_size.max(1)
    }

    /// Removes instances and addresses that were last seen too long ago.
    pub fn evict_expired(&mut self, now: MonoMs) {
        let alive: HashSet<SocketAddr> = self
            .live_members(now)
            .map(|member| member.peer_address)
            .collect();
        self.known.retain(|address, known| {
            if alive.contains(address) {
                known.last_seen_at = now;
            }
            now.since(known.last_seen_at) < MEMBER_RETENTION_MS
        });
        self.learned_addresses
            .retain(|_, since| now.since(*since) < MEMBER_RETENTION_MS);
    }
}

/// Hashes an address with a salt. All instances compute the same value.
pub fn hash(salt: u64, address: SocketAddr) -> u64 {
    let mut hasher = Xxh3::with_seed(salt);
    match address.ip() {
        IpAddr::V4(ip) => hasher.update(&ip.octets()),
        IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(&address.port().to_be_bytes());
    hasher.digest()
}
