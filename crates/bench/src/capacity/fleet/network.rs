use {
    super::{
        Counters, Published,
        daemon::{Daemon, Watch},
        deliver::{Delivery, Queued},
        links::OpenLinks,
        reads::Platform,
    },
    crate::capacity::clock::timed,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
    },
    whinlatch_core::{Action, Event, MonoMs},
    whinlatch_wire::{
        ids::{Incarnation, RecordKey, Revision},
        peer::MemberState,
    },
};

/// Time between ticks, in ms.
const TICK_MS: u64 = 50;
/// Rounds of messages in one tick; what is left goes on in the next.
const ROUNDS_PER_TICK: usize = 64;
/// Values in a page of the platform, in bytes.
const PAGE_BYTES: usize = 1_048_576;

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Daemons that run from the start.
    pub daemons: usize,
    /// What the platform publishes.
    pub published: Published,
    /// Open streams at each target, which its reports list.
    pub streams_per_target: usize,
    /// Values in a page of the platform, in bytes.
    pub page_bytes: usize,
}

impl FleetOptions {
    /// So many daemons before what is published; no open streams.
    pub fn new(daemons: usize, published: Published) -> Self {
        Self {
            daemons,
            published,
            streams_per_target: 0,
            page_bytes: PAGE_BYTES,
        }
    }
}

/// Daemons, the links between them, the platform and the targets.
#[derive(Debug)]
pub struct Fleet {
    pub(super) daemons: Vec<Daemon>,
    pub(super) links: OpenLinks,
    pub(super) platform: Platform,
    pub(super) streams_per_target: usize,
    pub(super) now: MonoMs,
    pub(super) regions_apart: bool,
    pub(super) queue: Vec<Queued>,
    by_address: HashMap<SocketAddr, usize>,
    by_incarnation: HashMap<Incarnation, usize>,
    runs: u64,
}

impl Fleet {
    /// Daemons that start now.
    pub fn new(options: FleetOptions) -> Self {
        let mut fleet = Self {
            daemons: Vec::new(),
            links: OpenLinks::default(),
            platform: Platform::new(options.published, options.page_bytes),
            streams_per_target: options.streams_per_target,
            now: MonoMs::default(),
            regions_apart: false,
            queue: Vec::new(),
            by_address: HashMap::new(),
            by_incarnation: HashMap::new(),
            runs: 0,
        };
        fleet.start(options.daemons);
        fleet
    }

    /// Starts `count` more daemons.
    pub fn start(&mut self, count: usize) {
        for _ in 0..count {
            let number = self.daemons.len();
            let daemon = self.draw(number);
            self.daemons.push(daemon);
        }
    }

    /// Starts a new run on the instance of a daemon that was ended.
    pub fn restart(&mut self, number: usize) {
        self.daemons[number] = self.draw(number);
    }

    /// Ends a daemon; its links break.
    pub fn kill(&mut self, number: usize) {
        self.daemons[number].alive = false;
        for (a, b) in self.links.those(|a, b| a == number || b == number) {
            self.unlink(a, b);
        }
    }

    fn draw(&mut self, number: usize) -> Daemon {
        self.runs += 1;
        let daemon = Daemon::new(self.now, number, self.runs);
        self.by_address.insert(daemon.hello.peer_address, number);
        self.by_incarnation.insert(daemon.hello.incarnation, number);
        daemon
    }

    /// Lets time go on by one tick and delivers messages until none is left. Returns the rounds.
    pub fn step(&mut self) -> usize {
        self.tick();
        self.settle()
    }

    /// Lets time go on by one tick.
    pub fn tick(&mut self) {
        self.now = self.now + TICK_MS;
        self.end_watches();
        for number in 0..self.daemons.len() {
            if self.daemons[number].alive {
                self.feed(number, vec![Event::Tick]);
            }
        }
    }

    /// Lets so many seconds go by.
    pub fn run_s(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 / TICK_MS {
            self.step();
        }
    }

    /// Delivers messages until none is left. Returns the rounds.
    pub fn settle(&mut self) -> usize {
        for round in 0..ROUNDS_PER_TICK {
            if !self.round() {
                return round;
            }
        }
        ROUNDS_PER_TICK
    }

    /// Hands events to a daemon and carries out its actions.
    pub(super) fn feed(&mut self, number: usize, events: Vec<Event>) {
        let now = self.now;
        let daemon = &mut self.daemons[number];
        let core = &mut daemon.core;
        let actions: Vec<Action> = timed(&mut daemon.counters.core_ns, || {
            let each = events.into_iter();
            each.flat_map(|event| core.handle(now, event)).collect()
        });
        self.carry_out(number, actions);
    }

    /// Changes what is published; watches are answered at once.
    pub fn publish(&mut self, change: impl FnOnce(&mut Published)) {
        self.platform.publish(change);
        let newest = self.platform.published.newest();
        for number in 0..self.daemons.len() {
            let daemon = &mut self.daemons[number];
            let waits = daemon.watch.is_some_and(|watch| watch.after < newest);
            if waits && daemon.reads_platform {
                let after = daemon.watch.take().map(|watch| watch.after);
                self.answer_page(number, after.unwrap_or_default());
            }
        }
    }

    /// Says which daemons reach the platform. Reads that wait at one that no longer does fail.
    pub fn platform_reaches(&mut self, reaches: impl Fn(usize) -> bool) {
        for number in 0..self.daemons.len() {
            let daemon = &mut self.daemons[number];
            daemon.reads_platform = reaches(number);
            if !daemon.reads_platform && daemon.watch.take().is_some() {
                self.queue.push(Queued {
                    to: number,
                    delivery: Delivery::RecordsFailed,
                });
            }
        }
    }

    /// Daemons whose read of the records waits for news.
    pub fn watching(&self) -> impl Iterator<Item = usize> {
        let each = self.daemons.iter().enumerate();
        each.filter(|(_, daemon)| daemon.watch.is_some())
            .map(|(number, _)| number)
    }

    /// Daemons that hold the run of any of these others to be alive.
    pub fn believing_in(&self, numbers: &[usize]) -> usize {
        let runs: HashSet<Incarnation> = numbers
            .iter()
            .map(|number| self.daemons[*number].hello.incarnation)
            .collect();
        let others = self.daemons.iter().enumerate();
        others
            .filter(|(other, daemon)| !numbers.contains(other) && daemon.alive)
            .filter(|(_, daemon)| {
                let peers = daemon.core.status(self.now).peers;
                let mut told = peers.iter().filter(|p| runs.contains(&p.incarnation));
                told.any(|peer| peer.state == MemberState::Alive)
            })
            .count()
    }

    /// Parts the regions or joins them again. Links between them break.
    pub fn part_regions(&mut self, apart: bool) {
        self.regions_apart = apart;
        if !apart {
            return;
        }
        let across = |a: usize, b: usize| self.daemons[a].region != self.daemons[b].region;
        for (a, b) in self.links.those(across) {
            self.unlink(a, b);
        }
    }

    /// Forgets what was counted so far.
    pub fn reset_counters(&mut self) {
        self.platform.forget_reads();
        for daemon in &mut self.daemons {
            daemon.counters = Counters::default();
        }
    }

    /// What all daemons together counted.
    pub fn total(&self) -> Counters {
        let mut total = Counters::default();
        for daemon in &self.daemons {
            total.add(&daemon.counters);
        }
        total
    }

    /// What each daemon counted.
    pub fn counters(&self) -> impl Iterator<Item = &Counters> {
        self.daemons.iter().map(|daemon| &daemon.counters)
    }

    /// Daemons that hold nothing older than `revision`.
    pub fn holding(&self, revision: Revision) -> usize {
        self.daemons
            .iter()
            .filter(|daemon| daemon.core.status(self.now).newest_revision >= revision)
            .count()
    }

    /// Daemons that hold exactly what is published.
    pub fn in_agreement(&self) -> usize {
        let published = &self.platform.published.records;
        let newest: HashMap<&RecordKey, Revision> = published
            .iter()
            .map(|record| (&record.key, record.revision))
            .collect();
        self.daemons
            .iter()
            .map(|daemon| daemon.core.records_report().records)
            .filter(|held| held.len() == newest.len())
            .filter(|held| held.iter().all(|r| newest.get(&r.key) == Some(&r.revision)))
            .count()
    }

    /// Daemons in all.
    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    /// Highest revision that is published.
    pub fn newest(&self) -> Revision {
        self.platform.published.newest()
    }

    /// Links that are open.
    pub fn open_links(&self) -> usize {
        self.links.len()
    }

    /// Most reads of the platform in a second since the counters were reset.
    pub fn busiest_second(&self) -> u64 {
        self.platform.busiest_second()
    }

    /// Time gone by, in ms.
    pub fn now_ms(&self) -> u64 {
        self.now.0
    }

    pub(super) fn at_address(&self, address: SocketAddr) -> Option<usize> {
        self.by_address.get(&address).copied()
    }

    pub(super) fn of_incarnation(&self, incarnation: Incarnation) -> Option<usize> {
        let number = self.by_incarnation.get(&incarnation).copied()?;
        let current = self.daemons[number].hello.incarnation == incarnation;
        current.then_some(number)
    }

    fn end_watches(&mut self) {
        for number in 0..self.daemons.len() {
            let over = |watch: Watch| watch.expires <= self.now;
            if let Some(watch) = self.daemons[number].watch.filter(|watch| over(*watch)) {
                self.daemons[number].watch = None;
                self.answer_page(number, watch.after);
            }
        }
    }

    pub(super) fn answer_page(&mut self, number: usize, after: Revision) {
        let delivery = if self.daemons[number].reads_platform {
            let page = self.platform.page(after);
            self.daemons[number].counters.platform_bytes_in += page.len() as u64;
            Delivery::Page(page)
        } else {
            Delivery::RecordsFailed
        };
        self.queue.push(Queued {
            to: number,
            delivery,
        });
    }
}
