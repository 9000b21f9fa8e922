use {
    super::{Beat, EngineGroup, Known, Member, Ranks, Roster},
    std::{
        collections::{HashMap, HashSet},
        net::{IpAddr, SocketAddr},
    },
    whinlatch_core::MonoMs,
    xxhash_rust::xxh3::Xxh3,
};

/// Silence after which an instance is forgotten, in ms: over the time for which a fleet is cut in
/// two on most days, so that the two parts find each other again.
const FORGOTTEN_MS: u64 = 60_000;
/// Time for which a roster counts after its sender was taken for silent, in ms: others have listed
/// its instances by then, so that they aren't all left out at once.
const ROSTER_GRACE_MS: u64 = 1_500;
/// Instances up to which each links to all others and is told of all their prompts: what that costs
/// grows with the square of their number, and is under a hundredth of a core each at this one.
const SMALL_FLEET: usize = 12;
/// Hubs that an instance hears itself before it leaves its seeds alone.
const ENOUGH_HUBS: usize = 2;
/// Instances among which the free part of a budget is divided before any other was heard of, if
/// there are seeds: an instance that starts cut off from all must not take all of it.
const ASSUMED_FLEET: usize = SMALL_FLEET;

/// The instances that this one has heard of, by the address at which they link.
#[derive(Debug, Default)]
pub struct MemberBook {
    known: HashMap<SocketAddr, Known>,
    told: HashMap<SocketAddr, MonoMs>,
    seeds: Vec<SocketAddr>,
    announced: HashMap<SocketAddr, Member>,
    ranks: Ranks,
    most: usize,
}

impl MemberBook {
    /// Whether an instance says something else of itself than before.
    pub fn is_news(&self, member: &Member) -> bool {
        let known = self.known.get(&member.peer_address);
        known.is_none_or(|known| !known.member.says_the_same(member))
    }

    /// Takes in what an instance says of itself. Returns the run that it replaces, if any.
    pub fn heard(&mut self, now: MonoMs, member: Member) -> Option<u64> {
        let address = member.peer_address;
        let former = self.know(now, member);
        if let Some(known) = self.known.get_mut(&address) {
            known.hear(now);
        }
        former
    }

    /// Notes what is said of an instance. Returns the run that it replaces, if any.
    fn know(&mut self, now: MonoMs, member: Member) -> Option<u64> {
        let address = member.peer_address;
        self.told.remove(&address);
        let former = if let Some(known) = self.known.get_mut(&address) {
            known.says(member)
        } else {
            self.known.insert(address, Known::new(now, member));
            None
        };
        self.most = self.most.max(self.known.len() + 1);
        former
    }

    /// Takes in which instances another one hears from. Returns the runs that are replaced.
    ///
    /// A run that is heard here goes before another one of which others tell: they know of the
    /// former run still.
    pub fn roster(
        &mut self,
        now: MonoMs,
        own: SocketAddr,
        from: SocketAddr,
        roster: Roster,
    ) -> Vec<u64> {
        let is_gone = |address: &SocketAddr| roster.is_full || roster.gone.contains(address);
        for (address, known) in &mut self.known {
            if is_gone(address) {
                known.listed_by.retain(|teller| *teller != from);
            }
        }
        let mut replaced = Vec::new();
        for member in roster.listed {
            let address = member.peer_address;
            if address == own {
                continue;
            }
            let is_former =
                |known: &Known| known.is_heard(now, 0) && known.member.run != member.run;
            if self.known.get(&address).is_some_and(is_former) {
                continue;
            }
            replaced.extend(self.know(now, member));
            if let Some(known) = self.known.get_mut(&address)
                && !known.listed_by.contains(&from)
            {
                known.listed_by.push(from);
            }
        }
        replaced
    }

    /// Takes any frame of an instance for a sign of life. Returns where it links, if that is known.
    pub fn lives(&mut self, now: MonoMs, run: u64) -> Option<SocketAddr> {
        let mut known = self.known.iter_mut();
        let (address, known) = known.find(|(_, known)| known.member.run == run)?;
        known.hear(now);
        Some(*address)
    }

    /// Takes in a heartbeat that says nothing new of its instance.
    pub fn beat(&mut self, now: MonoMs, address: SocketAddr, beat: Beat) {
        if let Some(known) = self.known.get_mut(&address) {
            known.member.version = known.member.version.max(beat.version);
            known.member.revision = known.member.revision.max(beat.revision);
            known.engine_groups = beat.engine_groups;
            if beat.asks_for_link {
                known.ask(now);
            }
        }
    }

    /// A link to an instance broke: unless it is heard of soon, it counts as silent.
    pub fn doubt(&mut self, now: MonoMs, address: SocketAddr) {
        if let Some(known) = self.known.get_mut(&address) {
            known.doubt(now);
        }
    }

    /// Takes in addresses that a peer tells of.
    pub fn told(&mut self, now: MonoMs, own: SocketAddr, addresses: &[SocketAddr]) {
        for address in addresses {
            if *address != own && !self.known.contains_key(address) {
                self.told.entry(*address).or_insert(now);
            }
        }
    }

    /// Takes in the addresses that the settings tell of.
    pub fn seeded(&mut self, own: SocketAddr, addresses: &[SocketAddr]) {
        let others = addresses.iter().filter(|address| **address != own);
        self.seeds = others.copied().collect();
    }

    /// Whether there are too many instances for each to link to all others.
    pub fn is_large(&self) -> bool {
        self.known.len() + self.told.len() + 1 > SMALL_FLEET
    }

    /// Addresses to which this instance wants a link for a reason of its own, and asks the other
    /// to link back.
    ///
    /// In a large fleet these are the hubs, and those that choose engines for this instance in
    /// `groups`. A hub wants all it has ever heard of lately: so two parts of a fleet that were cut
    /// from each other find each other again, without anybody asking seeds for it.
    pub fn wanted(
        &self,
        now: MonoMs,
        own: SocketAddr,
        groups: &[EngineGroup],
    ) -> HashSet<SocketAddr> {
        let mut wanted: HashSet<SocketAddr> = self.told.keys().copied().collect();
        let hubs = self.ranks.hubs();
        let is_hub = hubs.contains(&own);
        if is_hub || !self.is_large() {
            wanted.extend(self.known.keys());
        }
        let heard_hubs = hubs
            .iter()
            .filter_map(|hub| self.known.get(hub))
            .filter(|hub| hub.is_heard(now, 0));
        if is_hub || !self.is_large() || heard_hubs.count() < ENOUGH_HUBS {
            wanted.extend(&self.seeds);
        }
        wanted.extend(hubs.iter().copied());
        for group in groups {
            wanted.extend(self.ranks.deciders(*group));
        }
        wanted.remove(&own);
        wanted
    }

    /// Addresses of those that asked this instance to link to them.
    pub fn asking(&self, now: MonoMs) -> impl Iterator<Item = SocketAddr> {
        self.known
            .iter()
            .filter(move |(_, known)| known.wants_link(now))
            .map(|(address, _)| *address)
    }

    /// Addresses to tell peers of: in a small fleet all that are alive, else where the hubs are.
    pub fn addresses_to_tell(&self, now: MonoMs) -> Vec<SocketAddr> {
        if self.is_large() {
            return self.ranks.hubs().to_vec();
        }
        self.fresh(now).map(|member| member.peer_address).collect()
    }

    /// The instances that are taken for alive.
    pub fn fresh(&self, now: MonoMs) -> impl Iterator<Item = &Member> {
        let tellers: HashSet<SocketAddr> = self
            .known
            .iter()
            .filter(|(_, known)| known.is_heard(now, ROSTER_GRACE_MS))
            .map(|(address, _)| *address)
            .collect();
        self.known
            .values()
            .filter(move |known| {
                let is_listed = || {
                    known
                        .listed_by
                        .iter()
                        .any(|teller| tellers.contains(teller))
                };
                known.is_heard(now, 0) || is_listed()
            })
            .map(|known| &known.member)
    }

    /// The instances that spoke for themselves of late.
    pub fn heard_now(&self, now: MonoMs) -> impl Iterator<Item = &Member> {
        self.known
            .values()
            .filter(move |known| known.is_heard(now, 0))
            .map(|known| &known.member)
    }

    /// All that this instance hears itself, as a hub tells it where a link begins; nobody, if it
    /// is no hub, which takes back what it told before.
    pub fn full_roster(&self, now: MonoMs, own: SocketAddr) -> Roster {
        let listed = if self.ranks.hubs().contains(&own) {
            self.heard_now(now).cloned().collect()
        } else {
            Vec::new()
        };
        Roster {
            is_full: true,
            listed,
            gone: Vec::new(),
        }
    }

    /// What a hub has to tell since the last call; `None` if nothing changed.
    pub fn roster_news(&mut self, now: MonoMs, own: SocketAddr) -> Option<Roster> {
        let heard: HashMap<SocketAddr, Member> = if self.ranks.hubs().contains(&own) {
            self.heard_now(now)
                .map(|member| (member.peer_address, member.clone()))
                .collect()
        } else {
            HashMap::new()
        };
        let is_news = |member: &&Member| {
            let former = self.announced.get(&member.peer_address);
            former.is_none_or(|former| !former.says_the_same(member))
        };
        let listed: Vec<Member> = heard.values().filter(is_news).cloned().collect();
        let gone: Vec<SocketAddr> = self
            .announced
            .keys()
            .filter(|address| !heard.contains_key(*address))
            .copied()
            .collect();
        self.announced = heard;
        let roster = Roster {
            is_full: false,
            listed,
            gone,
        };
        (roster != Roster::default()).then_some(roster)
    }

    /// Which instances have a task for all others, as of the last [`Self::rank`].
    pub fn ranks(&self) -> &Ranks {
        &self.ranks
    }

    /// Ranks the instances anew. It weighs all of them against each other, so that it is done when
    /// something changes and a few times a second, and not for each prompt.
    ///
    /// Returns whether that gives this instance a task that it hadn't.
    pub fn rank(&mut self, now: MonoMs, own: &Member) -> bool {
        let alive = self.fresh(now).chain([own]);
        let ranks = Ranks::new(self.is_large(), &own.failure_domain, alive);
        let is_new = ranks.are_new_to(own.peer_address, &self.ranks);
        self.ranks = ranks;
        is_new
    }

    /// Number of groups of engines that the first hub has which is heard, if that is another instance.
    pub fn engine_groups(&self, now: MonoMs, own: SocketAddr) -> Option<u32> {
        let hubs = self.ranks.hubs().iter();
        let is_there = |hub: &&SocketAddr| {
            let known = self.known.get(*hub);
            **hub == own || known.is_some_and(|known| known.is_heard(now, 0))
        };
        let first = hubs.copied().find(|hub| is_there(&hub))?;
        let told = self.known.get(&first)?.engine_groups;
        (first != own && told > 0).then_some(told)
    }

    /// The runs that are not taken for alive; their work is over or about to be.
    pub fn silent_runs(&self, now: MonoMs) -> Vec<u64> {
        let fresh: HashSet<u64> = self.fresh(now).map(|member| member.run).collect();
        self.known
            .values()
            .map(|known| known.member.run)
            .filter(|run| !fresh.contains(run))
            .collect()
    }

    /// This process was paused: nobody could be heard, which says nothing of the others.
    pub fn excuse_all(&mut self, now: MonoMs) {
        for known in self.known.values_mut() {
            known.excuse(now);
        }
    }

    /// Most instances that were known at once, this one among them: how many share a budget.
    pub fn most(&self) -> usize {
        if self.most == 0 && !self.seeds.is_empty() {
            return ASSUMED_FLEET;
        }
        self.most.max(1)
    }

    /// Forgets instances that are gone.
    pub fn forget_old(&mut self, now: MonoMs) {
        let fresh: HashSet<SocketAddr> =
            self.fresh(now).map(|member| member.peer_address).collect();
        self.known.retain(|address, known| {
            if fresh.contains(address) {
                known.last = now;
            }
            now.since(known.last) < FORGOTTEN_MS
        });
        self.told
            .retain(|_, since| now.since(*since) < FORGOTTEN_MS);
    }
}

/// A number that is the same on all instances for the same address and salt.
pub fn hash(salt: u64, address: SocketAddr) -> u64 {
    let mut hasher = Xxh3::with_seed(salt);
    match address.ip() {
        IpAddr::V4(ip) => hasher.update(&ip.octets()),
        IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(&address.port().to_be_bytes());
    hasher.digest()
}
