//! A fleet in one process: many instances, links that deliver frames immediately, and a store.

use {
    super::fixture::{START, change, member, rule, service},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        Heartbeat, HeartbeatReach, Recipients, Serving, StoreRole,
        catalog::{Configuration, Limits},
        fleet::{Frame, Member},
        targets::{EvacuationChange, TargetChange, TargetState},
    },
};

/// Time between two steps of the fleet, in ms.
const STEP_MS: u64 = 250;
/// Time until an instance that reads the store for itself tries again after its first failure, in ms; it doubles with
/// each further one.
const FIRST_RETRY_MS: u64 = 750;
/// Limit for the number of times that [`FIRST_RETRY_MS`] doubles.
const MAX_RETRY_DOUBLINGS: u32 = 3;
/// Store revision at the start.
const FIRST_REVISION: u64 = 1;

/// The store's contents, and the instances that read it.
#[derive(Debug, Default)]
pub struct Store {
    pub changes: Vec<TargetChange>,
    pub evacuations: Vec<EvacuationChange>,
    /// Instances that read the store, once for each call.
    pub readers: Vec<SocketAddr>,
    pub is_down: bool,
    /// Instances that it refuses while it serves the others.
    pub refused: BTreeSet<SocketAddr>,
}

impl Store {
    pub fn revision(&self) -> u64 {
        let targets = self.changes.iter().map(|change| change.revision);
        let evacuations = self.evacuations.iter().map(|change| change.revision);
        targets.chain(evacuations).max().unwrap_or(FIRST_REVISION)
    }

    /// Returns the instances that read the store since the last call.
    pub fn take_readers(&mut self) -> BTreeSet<SocketAddr> {
        std::mem::take(&mut self.readers).into_iter().collect()
    }
}

/// Returns the name of a failure domain.
pub fn domain(number: u64) -> String {
    format!("domain-{number}")
}

/// Returns an instance that knows a configuration and four engines.
fn instance_of(own: Member) -> Serving {
    let mut serving = Serving::new(own, rule());
    let services = vec![service()];
    let configuration = Configuration::new(1, Limits::default(), Vec::new(), services, Vec::new());
    serving.activate_configuration(configuration, "{}".to_owned());
    for name in ["e-00", "e-01", "e-02", "e-03"] {
        serving.apply_store_change(START, &change(name, FIRST_REVISION, TargetState::Ready));
    }
    serving.take_news();
    serving
}

fn is_recipient(recipients: &Recipients, address: &SocketAddr) -> bool {
    match recipients {
        Recipients::All => true,
        Recipients::Peers(peers) => peers.contains(address),
    }
}

/// Observes a frame and its sender.
type OnSent = dyn FnMut(SocketAddr, &Frame);

/// Instances and the links between them; frames arrive immediately and in order.
pub struct Fleet {
    pub now: MonoMs,
    pub alive: BTreeMap<SocketAddr, Serving>,
    runs: BTreeMap<SocketAddr, u64>,
    pub links: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Network partition of each instance: frames arrive only within one. Instances without an entry share
    /// one.
    pub partitions: BTreeMap<SocketAddr, u8>,
    pub store: Store,
    /// Failed reads of each instance in a row, and the time of its next one.
    retries: BTreeMap<SocketAddr, (u32, MonoMs)>,
    /// Observes each frame that is sent, with its sender; does nothing by default.
    pub on_sent: Box<OnSent>,
}

impl Fleet {
    /// Starts instances that have the first two of them as seeds.
    pub fn start(count: u64) -> Self {
        Self::in_domains(count, 1)
    }

    /// Starts instances as [`Self::start`] does, divided among failure domains.
    pub fn in_domains(count: u64, domains: u64) -> Self {
        let mut fleet = Self {
            now: START,
            alive: BTreeMap::new(),
            runs: BTreeMap::new(),
            links: BTreeSet::new(),
            partitions: BTreeMap::new(),
            store: Store::default(),
            retries: BTreeMap::new(),
            on_sent: Box::new(|_from, _frame| {}),
        };
        for run in 1..=count {
            let own = Member {
                failure_domain: domain(run % domains).as_str().into(),
                ..member(run, 7_000 + 10 * run as u16)
            };
            let serving = instance_of(own);
            let address = serving.peer_address();
            fleet.runs.insert(address, run);
            fleet.alive.insert(address, serving);
        }
        let seeds: Vec<SocketAddr> = fleet.alive.keys().take(2).copied().collect();
        for serving in fleet.alive.values_mut() {
            serving.set_seeds(&seeds);
        }
        fleet
    }

    fn can_reach(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.alive.contains_key(&to) && self.partitions.get(&from) == self.partitions.get(&to)
    }

    pub fn deliver(&mut self, from: SocketAddr, to: SocketAddr, frame: Frame) {
        (self.on_sent)(from, &frame);
        if self.can_reach(from, to) {
            let run = self.runs[&from];
            let now = self.now;
            let receiver = self.alive.get_mut(&to).unwrap();
            receiver.on_frame(now, run, frame, |_text| None);
        }
    }

    /// Advances the time by one step; each instance sends its changes, updates its links and sends
    /// heartbeats.
    pub fn step(&mut self) {
        self.now = self.now + STEP_MS;
        let addresses: Vec<SocketAddr> = self.alive.keys().copied().collect();
        for from in addresses {
            let now = self.now;
            let serving = self.alive.get_mut(&from).unwrap();
            serving.tick(now);
            let roster = serving.roster_news(now);
            let wanted_links = serving.wanted_links(now);
            let links: BTreeSet<SocketAddr> = wanted_links
                .own
                .union(&wanted_links.requested)
                .copied()
                .collect();
            let former = self.links_of(from);
            for (recipients, frame) in roster {
                for to in former.intersection(&links) {
                    if is_recipient(&recipients, to) {
                        self.deliver(from, *to, frame.clone());
                    }
                }
            }
            self.links.retain(|(source, _)| *source != from);
            let serving = self.alive.get_mut(&from).unwrap();
            let Heartbeat {
                frame: heartbeat,
                reach,
            } = serving.heartbeat(now, false);
            for to in links {
                let requests_link = wanted_links.own.contains(&to);
                if !self.can_reach(from, to) {
                    self.alive.get_mut(&from).unwrap().on_link_lost(now, to);
                    continue;
                }
                self.links.insert((from, to));
                let serving = self.alive.get_mut(&from).unwrap();
                let follows = serving.follow_requests(now);
                let is_relay = follows.iter().any(|(relay, _)| *relay == to);
                let is_reached = match reach {
                    HeartbeatReach::AllLinks => true,
                    HeartbeatReach::HubLinks => is_relay || serving.is_hub_link(to),
                };
                if former.contains(&to) && !is_reached {
                    continue;
                }
                let frame = if former.contains(&to) {
                    let mut heartbeat = heartbeat.clone();
                    let fields = heartbeat.heartbeat.as_mut().unwrap();
                    fields.requests_link = requests_link;
                    let mut requests = follows.into_iter();
                    fields.follow_request =
                        requests.find_map(|(relay, follow)| (relay == to).then_some(follow));
                    heartbeat
                } else {
                    serving.greeting(now, to, requests_link)
                };
                self.deliver(from, to, frame);
            }
            self.deliver_call_report(from);
            self.read_store(from);
            self.request_missing_state(from);
            self.deliver_relay_updates(from);
        }
    }

    /// Delivers the news of all instances until there are none left.
    pub fn deliver_news(&mut self) {
        let addresses: Vec<SocketAddr> = self.alive.keys().copied().collect();
        loop {
            let sent: Vec<(SocketAddr, Recipients, Frame)> = addresses
                .iter()
                .flat_map(|from| {
                    let news = self.alive.get_mut(from).unwrap().take_news();
                    news.into_iter().map(|(to, frame)| (*from, to, frame))
                })
                .collect();
            if sent.is_empty() {
                return;
            }
            for (from, recipients, frame) in sent {
                let to = match recipients {
                    Recipients::All => self.links_of(from).into_iter().collect(),
                    Recipients::Peers(to) => to,
                };
                for to in to {
                    self.deliver(from, to, frame.clone());
                }
            }
        }
    }

    fn deliver_call_report(&mut self, from: SocketAddr) {
        let Some((recipients, frame)) = self.alive.get_mut(&from).unwrap().call_report() else {
            return;
        };
        for to in self.links_of(from) {
            if is_recipient(&recipients, &to) {
                self.deliver(from, to, frame.clone());
            }
        }
    }

    /// Lets an instance read the store, unless it follows a relay or has failed a short time ago.
    fn read_store(&mut self, from: SocketAddr) {
        let now = self.now;
        let serving = self.alive.get_mut(&from).unwrap();
        let role = serving.store_role(now);
        if matches!(role, StoreRole::Follow(_)) {
            return;
        }
        let (failures, retry_at) = self.retries.get(&from).copied().unwrap_or_default();
        if matches!(role, StoreRole::StandIn { .. }) && now < retry_at {
            return;
        }
        self.store.readers.push(from);
        if self.store.is_down || self.store.refused.contains(&from) {
            serving.record_store_failure(now);
            let retry_at = now + (FIRST_RETRY_MS << failures.min(MAX_RETRY_DOUBLINGS));
            self.retries.insert(from, (failures + 1, retry_at));
            return;
        }
        self.retries.remove(&from);
        serving.record_store_answer(now);
        let complete_revision = serving.complete_revision().unwrap_or(0);
        for change in &self.store.changes {
            if change.revision > complete_revision {
                serving.apply_store_change(now, change);
            }
        }
        for change in &self.store.evacuations {
            if change.revision > complete_revision {
                serving.apply_evacuation(now, change);
            }
        }
        serving.mark_complete_at(now, self.store.revision());
    }

    /// Lets an instance that lags behind its peers ask them for what it lacks, over the links that there are.
    fn request_missing_state(&mut self, from: SocketAddr) {
        let now = self.now;
        let Some((peers, frame)) = self.alive[&from].catch_up_request(now) else {
            return;
        };
        let request = frame.catch_up_request.unwrap();
        for peer in peers {
            let is_linked =
                self.links.contains(&(from, peer)) && self.links.contains(&(peer, from));
            if is_linked && self.can_reach(from, peer) {
                let response = self.alive[&peer].catch_up_response(now, &request);
                self.deliver(peer, from, response);
            }
        }
    }

    fn deliver_relay_updates(&mut self, from: SocketAddr) {
        let linked = self.links_of(from);
        let serving = self.alive.get_mut(&from).unwrap();
        for (to, frame) in serving.relay_news(self.now, |to| linked.contains(to)) {
            for to in to {
                self.deliver(from, to, frame.clone());
            }
        }
    }

    pub fn steps(&mut self, count: usize) {
        for _ in 0..count {
            self.step();
        }
    }

    pub fn links_of(&self, from: SocketAddr) -> BTreeSet<SocketAddr> {
        let links = self.links.iter();
        links
            .filter(|(source, _)| *source == from)
            .map(|(_, to)| *to)
            .collect()
    }

    /// Asserts that each instance considers this many peers alive.
    pub fn assert_all_know(&self, peers: usize) {
        let known = self
            .alive
            .values()
            .map(|serving| serving.live_peer_count(self.now));
        let known: Vec<usize> = known.collect();
        assert!(known.iter().all(|known| *known == peers), "{known:?}");
    }

    /// Returns the instances to which more than half of the fleet has links.
    pub fn hubs(&self) -> Vec<SocketAddr> {
        let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for (_, to) in &self.links {
            *counts.entry(*to).or_default() += 1;
        }
        let many = self.alive.len() / 2;
        counts.retain(|_, count| *count > many);
        counts.into_keys().collect()
    }

    /// Replaces an instance by a run that has just started at its address.
    pub fn restart(&mut self, address: SocketAddr, run: u64) {
        self.kill(address);
        self.links.retain(|(_, to)| *to != address);
        let own = Member {
            failure_domain: domain(0).as_str().into(),
            ..member(run, address.port() - 1)
        };
        let mut serving = instance_of(own);
        let seeds: Vec<SocketAddr> = self.alive.keys().take(2).copied().collect();
        serving.set_seeds(&seeds);
        self.runs.insert(address, run);
        self.alive.insert(address, serving);
    }

    /// Starts an instance anew that reads neither a configuration nor targets.
    pub fn restart_unready(&mut self, address: SocketAddr, run: u64) {
        self.restart(address, run);
        let own = Member {
            failure_domain: domain(0).as_str().into(),
            ..member(run, address.port() - 1)
        };
        let seeds: Vec<SocketAddr> = self.alive.keys().take(2).copied().collect();
        let mut serving = Serving::new(own, rule());
        serving.set_seeds(&seeds);
        self.alive.insert(address, serving);
    }

    pub fn kill(&mut self, address: SocketAddr) {
        self.alive.remove(&address);
        self.links.retain(|(from, _)| *from != address);
    }
}
