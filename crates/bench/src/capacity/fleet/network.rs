use {
    super::{
        Counters, Published,
        daemon::{Daemon, Watch},
        deliver::{Delivery, QueuedDelivery},
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

/// Interval between ticks, in ms.
const TICK_INTERVAL_MS: u64 = 50;
/// Maximum rounds of messages per tick. Messages still queued then are delivered after the next tick.
const MAX_ROUNDS_PER_TICK: usize = 64;
/// Maximum size of the values in a page of records, in bytes.
const PAGE_BYTES: usize = 1_048_576;

/// Initial state of a simulated fleet.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Number of daemons that run from the start.
    pub daemons: usize,
    /// Records and instance list that the platform publishes.
    pub published: Published,
    /// Open streams at each target, listed in its load reports.
    pub streams_per_target: usize,
    /// Maximum size of the values in a page of records, in bytes.
    pub page_bytes: usize,
}

impl FleetOptions {
    /// Creates options for a number of daemons, without open streams.
    pub fn new(daemons: usize, published: Published) -> Self {
        Self {
            daemons,
            published,
            streams_per_target: 0,
            page_bytes: PAGE_BYTES,
        }
    }
}

/// Simulated daemons with their links, the platform and the targets, in virtual time.
#[derive(Debug)]
pub struct Fleet {
    pub(super) daemons: Vec<Daemon>,
    pub(super) links: OpenLinks,
    pub(super) platform: Platform,
    pub(super) streams_per_target: usize,
    pub(super) now: MonoMs,
    /// Whether links between regions are impossible.
    pub(super) partitioned: bool,
    /// Messages that arrive in the next round.
    pub(super) queue: Vec<QueuedDelivery>,
    by_address: HashMap<SocketAddr, usize>,
    by_incarnation: HashMap<Incarnation, usize>,
    /// Daemons started so far, to number their runs.
    runs: u64,
}

impl Fleet {
    /// Creates a fleet whose daemons start at time 0.
    pub fn new(options: FleetOptions) -> Self {
        let mut fleet = Self {
            daemons: Vec::new(),
            links: OpenLinks::default(),
            platform: Platform::new(options.published, options.page_bytes),
            streams_per_target: options.streams_per_target,
            now: MonoMs::default(),
            partitioned: false,
            queue: Vec::new(),
            by_address: HashMap::new(),
            by_incarnation: HashMap::new(),
            runs: 0,
        };
        fleet.start_daemons(options.daemons);
        fleet
    }

    /// Starts `count` additional daemons.
    pub fn start_daemons(&mut self, count: usize) {
        for _ in 0..count {
            let number = self.daemons.len();
            let daemon = self.create_daemon(number);
            self.daemons.push(daemon);
        }
    }

    /// Starts a new run on the instance of a killed daemon.
    pub fn restart(&mut self, number: usize) {
        self.daemons[number] = self.create_daemon(number);
    }

    /// Kills a daemon and closes its links.
    pub fn kill(&mut self, number: usize) {
        self.daemons[number].alive = false;
        for (a, b) in self.links.matching(|a, b| a == number || b == number) {
            self.close_link(a, b);
        }
    }

    fn create_daemon(&mut self, number: usize) -> Daemon {
        self.runs += 1;
        let daemon = Daemon::new(self.now, number, self.runs);
        self.by_address.insert(daemon.hello.peer_address, number);
        self.by_incarnation.insert(daemon.hello.incarnation, number);
        daemon
    }

    /// Advances time by one tick and delivers messages until none is left. Returns the number of rounds.
    pub fn step(&mut self) -> usize {
        self.tick();
        self.deliver_all()
    }

    /// Advances time by one tick and sends each running daemon a tick.
    pub fn tick(&mut self) {
        self.now = self.now + TICK_INTERVAL_MS;
        self.expire_watches();
        for number in 0..self.daemons.len() {
            if self.daemons[number].alive {
                self.handle_events(number, vec![Event::Tick]);
            }
        }
    }

    /// Advances time by a number of seconds.
    pub fn run_s(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 / TICK_INTERVAL_MS {
            self.step();
        }
    }

    /// Delivers messages until none is left or `MAX_ROUNDS_PER_TICK` is reached. Returns the number of
    /// rounds.
    pub fn deliver_all(&mut self) -> usize {
        for round in 0..MAX_ROUNDS_PER_TICK {
            if !self.deliver_round() {
                return round;
            }
        }
        MAX_ROUNDS_PER_TICK
    }

    /// Passes events to a daemon's core and executes the resulting actions.
    pub(super) fn handle_events(&mut self, number: usize, events: Vec<Event>) {
        let now = self.now;
        let daemon = &mut self.daemons[number];
        let core = &mut daemon.core;
        let actions: Vec<Action> = timed(&mut daemon.counters.core_ns, || {
            let each = events.into_iter();
            each.flat_map(|event| core.handle(now, event)).collect()
        });
        self.execute(number, actions);
    }

    /// Changes the published data and answers the waiting reads that it concerns.
    pub fn publish(&mut self, change: impl FnOnce(&mut Published)) {
        self.platform.publish(change);
        let newest = self.platform.published.newest_revision();
        for number in 0..self.daemons.len() {
            let daemon = &mut self.daemons[number];
            let is_outdated = daemon.watch.is_some_and(|watch| watch.after < newest);
            if is_outdated && daemon.reads_platform {
                let after = daemon.watch.take().map(|watch| watch.after);
                self.send_page(number, after.unwrap_or_default());
            }
        }
    }

    /// Sets which daemons reach the platform. The waiting reads of the others fail.
    pub fn set_platform_access(&mut self, reaches: impl Fn(usize) -> bool) {
        for number in 0..self.daemons.len() {
            let daemon = &mut self.daemons[number];
            daemon.reads_platform = reaches(number);
            if !daemon.reads_platform && daemon.watch.take().is_some() {
                self.queue.push(QueuedDelivery {
                    to: number,
                    delivery: Delivery::RecordsFailed,
                });
            }
        }
    }

    /// Returns the daemons whose read of records waits for a newer revision.
    pub fn watchers(&self) -> impl Iterator<Item = usize> {
        let each = self.daemons.iter().enumerate();
        each.filter(|(_, daemon)| daemon.watch.is_some())
            .map(|(number, _)| number)
    }

    /// Counts the daemons that consider the current run of any of these others alive.
    pub fn daemons_considering_alive(&self, numbers: &[usize]) -> usize {
        let runs: HashSet<Incarnation> = numbers
            .iter()
            .map(|number| self.daemons[*number].hello.incarnation)
            .collect();
        let others = self.daemons.iter().enumerate();
        others
            .filter(|(other, daemon)| !numbers.contains(other) && daemon.alive)
            .filter(|(_, daemon)| {
                let peers = daemon.core.status(self.now).peers;
                let mut listed = peers.iter().filter(|p| runs.contains(&p.incarnation));
                listed.any(|peer| peer.state == MemberState::Alive)
            })
            .count()
    }

    /// Starts or ends a partition between the regions. Links between them close when it starts.
    pub fn set_partition(&mut self, partitioned: bool) {
        self.partitioned = partitioned;
        if !partitioned {
            return;
        }
        let across = |a: usize, b: usize| self.daemons[a].region != self.daemons[b].region;
        for (a, b) in self.links.matching(across) {
            self.close_link(a, b);
        }
    }

    /// Resets all counters, including the platform's.
    pub fn reset_counters(&mut self) {
        self.platform.clear_reads();
        for daemon in &mut self.daemons {
            daemon.counters = Counters::default();
        }
    }

    /// Returns the sum of the counters of all daemons.
    pub fn total(&self) -> Counters {
        let mut total = Counters::default();
        for daemon in &self.daemons {
            total.add(&daemon.counters);
        }
        total
    }

    /// Returns the counters of each daemon, in order of their numbers.
    pub fn counters(&self) -> impl Iterator<Item = &Counters> {
        self.daemons.iter().map(|daemon| &daemon.counters)
    }

    /// Counts the daemons whose newest record has at least this revision.
    pub fn daemons_at(&self, revision: Revision) -> usize {
        self.daemons
            .iter()
            .filter(|daemon| daemon.core.status(self.now).newest_revision >= revision)
            .count()
    }

    /// Counts the daemons whose records equal the published ones.
    pub fn converged_daemons(&self) -> usize {
        let published = &self.platform.published.records;
        let newest: HashMap<&RecordKey, Revision> = published
            .iter()
            .map(|record| (&record.key, record.revision))
            .collect();
        self.daemons
            .iter()
            .map(|daemon| daemon.core.records_report().records)
            .filter(|records| records.len() == newest.len())
            .filter(|records| {
                records
                    .iter()
                    .all(|r| newest.get(&r.key) == Some(&r.revision))
            })
            .count()
    }

    /// Returns the number of daemons, including killed ones.
    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    /// Returns the newest published revision.
    pub fn newest_revision(&self) -> Revision {
        self.platform.published.newest_revision()
    }

    /// Returns the number of open links.
    pub fn open_links(&self) -> usize {
        self.links.len()
    }

    /// Returns the maximum reads of the platform in a second since the counters were reset.
    pub fn max_reads_per_s(&self) -> u64 {
        self.platform.max_reads_per_s()
    }

    /// Returns the virtual time, in ms.
    pub fn now_ms(&self) -> u64 {
        self.now.0
    }

    /// Returns the number of the daemon at a peer address.
    pub(super) fn at_address(&self, address: SocketAddr) -> Option<usize> {
        self.by_address.get(&address).copied()
    }

    /// Returns the number of the daemon whose current run has this incarnation.
    pub(super) fn index_of(&self, incarnation: Incarnation) -> Option<usize> {
        let number = self.by_incarnation.get(&incarnation).copied()?;
        let is_current = self.daemons[number].hello.incarnation == incarnation;
        is_current.then_some(number)
    }

    /// Answers the waiting reads whose wait time is over.
    fn expire_watches(&mut self) {
        for number in 0..self.daemons.len() {
            let is_expired = |watch: Watch| watch.expires_at <= self.now;
            if let Some(watch) = self.daemons[number]
                .watch
                .filter(|watch| is_expired(*watch))
            {
                self.daemons[number].watch = None;
                self.send_page(number, watch.after);
            }
        }
    }

    /// Sends a daemon the records after a revision, or a failure if it doesn't reach the platform.
    pub(super) fn send_page(&mut self, number: usize, after: Revision) {
        let delivery = if self.daemons[number].reads_platform {
            let page = self.platform.page(after);
            self.daemons[number].counters.platform_bytes_in += page.len() as u64;
            Delivery::Records(page)
        } else {
            Delivery::RecordsFailed
        };
        self.queue.push(QueuedDelivery {
            to: number,
            delivery,
        });
    }
}
