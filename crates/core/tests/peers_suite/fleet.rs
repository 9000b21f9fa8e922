//! Cores that talk over links in memory. Links lose, double, reorder, fall silent or break under a
//! seeded generator; frames pass through the real codec; time is a number.

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
    pub platform_cut: bool,
    pub sent_bytes: u64,
    watch: Option<(Revision, u64)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Process {
    Up,
    Frozen,
    Ended,
}

/// How bad the links are.
#[derive(Debug, Clone, Copy, Default)]
pub struct Weather {
    pub loss_per_mille: u32,
    pub double_per_mille: u32,
    pub jitter_ms: u64,
}

#[derive(Debug)]
enum Due {
    Event(usize, Event),
    Frame(usize, usize, Vec<u8>),
    Opened(usize, usize),
}

#[derive(Debug)]
pub struct Fleet {
    pub now: u64,
    /// Time between ticks; longer where a test waits for minutes.
    pub tick_ms: u64,
    pub nodes: Vec<Node>,
    pub platform: Platform,
    pub weather: Weather,
    pub largest_frame: usize,
    /// Ordered pairs between which nothing passes, though no connection breaks.
    pub silent: BTreeSet<(usize, usize)>,
    links: BTreeSet<(usize, usize)>,
    /// Links that something between has lost track of: silent for good, while new ones work.
    pub hushed: BTreeSet<(usize, usize)>,
    due: BTreeMap<(u64, u64), Due>,
    sequence: u64,
    rng: fastrand::Rng,
}

pub fn fleet(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet {
        now: 1_000,
        tick_ms: TICK_MS,
        nodes: Vec::new(),
        platform: Platform::default(),
        weather: Weather::default(),
        largest_frame: 0,
        silent: BTreeSet::new(),
        links: BTreeSet::new(),
        hushed: BTreeSet::new(),
        due: BTreeMap::new(),
        sequence: 0,
        rng: fastrand::Rng::with_seed(seed),
    };
    for index in 0..size {
        fleet.add(options(index, 0, 3));
    }
    fleet
}

impl Fleet {
    /// Adds a daemon, or puts a new run in place of the one on the same instance.
    pub fn add(&mut self, options: CoreOptions) -> usize {
        let node = Node {
            core: Core::new(MonoMs(self.now), options.clone()),
            process: Process::Up,
            platform_cut: false,
            sent_bytes: 0,
            watch: None,
            options,
        };
        let same = |held: &Node| held.options.instance == node.options.instance;
        if let Some(index) = self.nodes.iter().position(same) {
            self.nodes[index] = node;
            return index;
        }
        self.list(&node.options, ListedState::Live);
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    pub fn list(&mut self, options: &CoreOptions, state: ListedState) {
        let daemons = &mut self.platform.list.daemons;
        daemons.retain(|daemon| daemon.instance != options.instance);
        daemons.push(listed(options, state));
        self.platform.list.version += 1;
    }

    /// Ends a process; its connections break unless they are silent.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].process = Process::Ended;
        for other in 0..self.nodes.len() {
            self.break_link(index, other);
        }
    }

    /// Cuts every connection between the two sides without a word.
    pub fn part(&mut self, left: &[usize], right: &[usize]) {
        for (a, b) in left
            .iter()
            .flat_map(|a| right.iter().map(move |b| (*a, *b)))
        {
            self.silent.extend([(a, b), (b, a)]);
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
            self.later(0, Due::Event(at, event));
        }
    }

    fn later(&mut self, ms: u64, due: Due) {
        self.sequence += 1;
        self.due.insert((self.now + ms, self.sequence), due);
    }

    pub fn run_ms(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += self.tick_ms;
            while let Some(entry) = self.due.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let due = entry.remove();
                self.deliver(due);
            }
            for index in 0..self.nodes.len() {
                self.answer_watch(index);
                self.event(index, Event::Tick);
            }
        }
    }

    /// Runs until `holds`, or fails after `within_ms`. Returns the time it took.
    pub fn until(&mut self, within_ms: u64, what: &str, holds: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !holds(self) {
            assert!(
                self.now - start < within_ms,
                "not within {within_ms} ms: {what}"
            );
            self.run_ms(TICK_MS);
        }
        self.now - start
    }

    fn deliver(&mut self, due: Due) {
        match due {
            Due::Event(index, event) => self.event(index, event),
            Due::Frame(from, to, bytes) => {
                let frame = Box::new(decode_frame(&bytes).expect("a frame"));
                let from = self.nodes[from].options.incarnation;
                self.event(to, Event::PeerFrame { from, frame });
            }
            Due::Opened(a, b) => self.open(a, b),
        }
    }

    fn open(&mut self, a: usize, b: usize) {
        let cut = self.silent.contains(&(a, b)) || self.silent.contains(&(b, a));
        if cut || !self.is_up(a) || !self.is_up(b) || self.linked(a, b) {
            let address = self.nodes[b].options.peer_address;
            let event = Event::PeerDown {
                address,
                peer: None,
            };
            self.later(if cut { LINK_TIMEOUT_MS } else { 0 }, Due::Event(a, event));
            return;
        }
        self.links.insert(pair(a, b));
        self.hushed.remove(&pair(a, b));
        for (at, peer) in [(a, b), (b, a)] {
            let hello = hello(&self.nodes[peer].options);
            self.event(at, Event::PeerUp { hello });
        }
    }

    /// Lets a core take in an event and carries out what it wants done.
    pub fn event(&mut self, index: usize, event: Event) {
        let node = &mut self.nodes[index];
        match node.process {
            Process::Up => {}
            Process::Ended => return,
            // Connections hold what comes until the process wakes.
            Process::Frozen if matches!(event, Event::Tick) => return,
            Process::Frozen => return self.later(TICK_MS, Due::Event(index, event)),
        }
        for action in node.core.handle(MonoMs(self.now), event) {
            self.carry_out(index, action);
        }
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, frame } => {
                self.send(index, to, &encode_frame(&frame).expect("fits"));
            }
            Action::Link { address } => {
                let peer = |node: &Node| node.options.peer_address == address;
                if let Some(peer) = self.nodes.iter().position(peer) {
                    self.later(1, Due::Opened(index, peer));
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
                let event = if self.platform.down || self.nodes[index].platform_cut {
                    PlatformEvent::InstancesFailed
                } else {
                    PlatformEvent::Instances(self.platform.list.clone())
                };
                self.later(2, Due::Event(index, Event::Platform(event)));
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
        self.largest_frame = self.largest_frame.max(bytes.len());
        let Some(to) = self.index_of(to).filter(|to| self.linked(from, *to)) else {
            return;
        };
        let per_mille = self.rng.u32(..1_000);
        let hushed = self.hushed.contains(&pair(from, to));
        if hushed || self.silent.contains(&(from, to)) || per_mille < self.weather.loss_per_mille {
            return;
        }
        let copies = 1 + u32::from(self.rng.u32(..1_000) < self.weather.double_per_mille);
        for _ in 0..copies {
            let delay_ms = 1 + self.rng.u64(..=self.weather.jitter_ms);
            self.later(delay_ms, Due::Frame(from, to, bytes.to_vec()));
        }
    }

    /// Answers a waiting read of records when there is something to say.
    fn answer_watch(&mut self, index: usize) {
        let Some((after, until)) = self.nodes[index].watch else {
            return;
        };
        let cut = self.nodes[index].platform_cut;
        let answer = if cut {
            Answer::Nothing
        } else {
            self.platform.read(after)
        };
        let event = match answer {
            Answer::Page(page) if page.records.is_empty() && self.now < until => return,
            Answer::Page(page) => PlatformEvent::Records(page),
            Answer::HistoryGone => PlatformEvent::HistoryGone,
            Answer::Nothing => PlatformEvent::RecordsFailed,
        };
        self.nodes[index].watch = None;
        self.event(index, Event::Platform(event));
    }
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}
