//! Cores connected by in-memory links, under simulated time. Links lose, duplicate, reorder or
//! block frames or break, driven by a seeded generator; frames pass through the real codec.

use {
    crate::{
        daemons::{hello, listed, options},
        platform::{Answer, Platform},
    },
    std::collections::{BTreeMap, BTreeSet},
    whinlatch_core::{Action, Core, CoreOptions, Event, MonoMs, PlatformEvent},
    whinlatch_wire::{
        ids::{Incarnation, Revision},
        peer::{decode_frame, encode_frame},
        platform::ListedState,
    },
};

pub const TICK_MS: u64 = 50;
const LINK_TIMEOUT_MS: u64 = 1_000;

#[derive(Debug)]
pub struct Node {
    pub options: CoreOptions,
    pub core: Core,
    pub process: Process,
    pub platform_unreachable: bool,
    pub sent_bytes: u64,
    watch: Option<(Revision, u64)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Process {
    Up,
    Paused,
    Ended,
}

/// Fault rates and delay of all links.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkFaults {
    pub loss_per_mille: u32,
    pub duplicate_per_mille: u32,
    pub jitter_ms: u64,
}

#[derive(Debug)]
enum Scheduled {
    Event(usize, Event),
    Frame(usize, usize, Vec<u8>),
    Opened(usize, usize),
}

#[derive(Debug)]
pub struct Fleet {
    pub now: u64,
    /// Time between ticks, in ms; longer where a test waits for minutes.
    pub tick_ms: u64,
    pub nodes: Vec<Node>,
    pub platform: Platform,
    pub link_faults: LinkFaults,
    pub largest_frame_bytes: usize,
    /// Ordered pairs of nodes between which no frame passes, though their connection stays open.
    pub blocked: BTreeSet<(usize, usize)>,
    links: BTreeSet<(usize, usize)>,
    /// Links whose current connection no longer delivers frames, while a new one works.
    pub dead_connections: BTreeSet<(usize, usize)>,
    scheduled: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    rng: fastrand::Rng,
}

pub fn fleet(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet {
        now: 1_000,
        tick_ms: TICK_MS,
        nodes: Vec::new(),
        platform: Platform::default(),
        link_faults: LinkFaults::default(),
        largest_frame_bytes: 0,
        blocked: BTreeSet::new(),
        links: BTreeSet::new(),
        dead_connections: BTreeSet::new(),
        scheduled: BTreeMap::new(),
        sequence: 0,
        rng: fastrand::Rng::with_seed(seed),
    };
    for index in 0..size {
        fleet.add(options(index, 0, 3));
    }
    fleet
}

impl Fleet {
    /// Adds a daemon, or replaces the one on the same instance by a new run.
    pub fn add(&mut self, options: CoreOptions) -> usize {
        let node = Node {
            core: Core::new(MonoMs(self.now), options.clone()),
            process: Process::Up,
            platform_unreachable: false,
            sent_bytes: 0,
            watch: None,
            options,
        };
        let same_instance = |other: &Node| other.options.instance == node.options.instance;
        if let Some(index) = self.nodes.iter().position(same_instance) {
            self.nodes[index] = node;
            return index;
        }
        self.set_listed(&node.options, ListedState::Live);
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    pub fn set_listed(&mut self, options: &CoreOptions, state: ListedState) {
        let daemons = &mut self.platform.list.daemons;
        daemons.retain(|daemon| daemon.instance != options.instance);
        daemons.push(listed(options, state));
        self.platform.list.version += 1;
    }

    /// Ends a process; its connections break.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].process = Process::Ended;
        for other in 0..self.nodes.len() {
            self.break_link(index, other);
        }
    }

    /// Blocks all frames between the two sides; their connections stay open.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for (a, b) in left
            .iter()
            .flat_map(|a| right.iter().map(move |b| (*a, *b)))
        {
            self.blocked.extend([(a, b), (b, a)]);
        }
    }

    pub fn is_up(&self, index: usize) -> bool {
        self.nodes[index].process == Process::Up
    }

    pub fn linked(&self, a: usize, b: usize) -> bool {
        self.links.contains(&pair(a, b))
    }

    fn break_link(&mut self, a: usize, b: usize) {
        if !self.links.remove(&pair(a, b)) {
            return;
        }
        for (at, peer) in [(a, b), (b, a)] {
            let options = &self.nodes[peer].options;
            let event = Event::PeerDown {
                address: options.peer_address,
                peer: Some(options.incarnation),
            };
            self.schedule(0, Scheduled::Event(at, event));
        }
    }

    fn schedule(&mut self, ms: u64, scheduled: Scheduled) {
        self.sequence += 1;
        self.scheduled
            .insert((self.now + ms, self.sequence), scheduled);
    }

    pub fn run_ms(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += self.tick_ms;
            while let Some(entry) = self.scheduled.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let scheduled = entry.remove();
                self.deliver(scheduled);
            }
            for index in 0..self.nodes.len() {
                self.answer_watch(index);
                self.event(index, Event::Tick);
            }
        }
    }

    /// Runs until `condition` is true and returns the time it took, in ms; panics after
    /// `timeout_ms`.
    pub fn run_until(
        &mut self,
        timeout_ms: u64,
        what: &str,
        condition: impl Fn(&Self) -> bool,
    ) -> u64 {
        let start = self.now;
        while !condition(self) {
            assert!(
                self.now - start < timeout_ms,
                "not within {timeout_ms} ms: {what}"
            );
            self.run_ms(TICK_MS);
        }
        self.now - start
    }

    fn deliver(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Event(index, event) => self.event(index, event),
            Scheduled::Frame(from, to, bytes) => {
                let frame = Box::new(decode_frame(&bytes).expect("a frame"));
                let from = self.nodes[from].options.incarnation;
                self.event(to, Event::PeerFrame { from, frame });
            }
            Scheduled::Opened(a, b) => self.open(a, b),
        }
    }

    fn open(&mut self, a: usize, b: usize) {
        let blocked = self.blocked.contains(&(a, b)) || self.blocked.contains(&(b, a));
        if blocked || !self.is_up(a) || !self.is_up(b) || self.linked(a, b) {
            let address = self.nodes[b].options.peer_address;
            let event = Event::PeerDown {
                address,
                peer: None,
            };
            self.schedule(
                if blocked { LINK_TIMEOUT_MS } else { 0 },
                Scheduled::Event(a, event),
            );
            return;
        }
        self.links.insert(pair(a, b));
        self.dead_connections.remove(&pair(a, b));
        for (at, peer) in [(a, b), (b, a)] {
            let hello = hello(&self.nodes[peer].options);
            self.event(at, Event::PeerUp { hello });
        }
    }

    /// Passes an event to a core and performs its actions.
    pub fn event(&mut self, index: usize, event: Event) {
        let node = &mut self.nodes[index];
        match node.process {
            Process::Up => {}
            Process::Ended => return,
            // Connections buffer incoming frames until the process resumes.
            Process::Paused if matches!(event, Event::Tick) => return,
            Process::Paused => return self.schedule(TICK_MS, Scheduled::Event(index, event)),
        }
        for action in node.core.handle(MonoMs(self.now), event) {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, frame } => {
                self.send(index, to, &encode_frame(&frame).expect("fits"));
            }
            Action::Link { address } => {
                let peer = |node: &Node| node.options.peer_address == address;
                if let Some(peer) = self.nodes.iter().position(peer) {
                    self.schedule(1, Scheduled::Opened(index, peer));
                }
            }
            Action::Unlink { peer } => {
                if let Some(peer) = self.index_of(peer) {
                    self.break_link(index, peer);
                }
            }
            Action::ReadRecords { after, wait_ms } => {
                self.nodes[index].watch = Some((after, self.now + wait_ms));
                self.platform.reads += 1;
            }
            Action::ReadInstances => {
                self.platform.reads += 1;
                let event = if self.platform.down || self.nodes[index].platform_unreachable {
                    PlatformEvent::InstancesFailed
                } else {
                    PlatformEvent::Instances(self.platform.list.clone())
                };
                self.schedule(2, Scheduled::Event(index, Event::Platform(event)));
            }
            _ => {}
        }
    }

    fn index_of(&self, incarnation: Incarnation) -> Option<usize> {
        let is_it = |node: &Node| node.options.incarnation == incarnation;
        self.nodes.iter().position(is_it)
    }

    fn send(&mut self, from: usize, to: Incarnation, bytes: &[u8]) {
        self.nodes[from].sent_bytes += bytes.len() as u64;
        self.largest_frame_bytes = self.largest_frame_bytes.max(bytes.len());
        let Some(to) = self.index_of(to).filter(|to| self.linked(from, *to)) else {
            return;
        };
        let per_mille = self.rng.u32(..1_000);
        let is_dead = self.dead_connections.contains(&pair(from, to));
        if is_dead
            || self.blocked.contains(&(from, to))
            || per_mille < self.link_faults.loss_per_mille
        {
            return;
        }
        let copies = 1 + u32::from(self.rng.u32(..1_000) < self.link_faults.duplicate_per_mille);
        for _ in 0..copies {
            let delay_ms = 1 + self.rng.u64(..=self.link_faults.jitter_ms);
            self.schedule(delay_ms, Scheduled::Frame(from, to, bytes.to_vec()));
        }
    }

    /// Answers a pending read of records once there are changes or its wait is over.
    fn answer_watch(&mut self, index: usize) {
        let Some((after, until)) = self.nodes[index].watch else {
            return;
        };
        let unreachable = self.nodes[index].platform_unreachable;
        let answer = if unreachable {
            Answer::Unreachable
        } else {
            self.platform.read(after)
        };
        let event = match answer {
            Answer::Page(page) if page.records.is_empty() && self.now < until => return,
            Answer::Page(page) => PlatformEvent::Records(page),
            Answer::HistoryGone => PlatformEvent::HistoryGone,
            Answer::Unreachable => PlatformEvent::RecordsFailed,
        };
        self.nodes[index].watch = None;
        self.event(index, Event::Platform(event));
    }
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}
