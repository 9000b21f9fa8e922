//! A fleet of linked instances on one clock that only the test advances.

use {
    super::fixture::{get, is_ready, start_with_clock},
    async_std::task,
    std::sync::Arc,
    whinlatch_daemon::{
        clock::{Clock, PausedClock},
        entry::Entry,
    },
    whinlatch_platform_standins::{
        Caller, CallerRequest, CallerResponse, ENGINES as ENGINE_SERVICE, Fixture, StoreStandin,
        TargetStandin,
    },
};

/// Number of instances in the fleet.
pub const INSTANCES: usize = 3;
/// Step by which the clock is advanced, in ms: the interval at which instances send news.
pub const STEP_MS: u64 = 20;
/// Ids of engines whose memory is too small for a large prompt.
pub const ENGINES: [&str; 5] = ["e-1", "e-2", "e-3", "e-4", "e-5"];
/// Memory of each of them, in tokens.
const ENGINE_TOKENS: u64 = 9_000;
/// Length of a large prompt, in tokens.
pub const LARGE_TOKENS: u64 = 10_000;
/// Queries to each instance after a step. Tasks that the step wakes have run by the first answer, and the frames
/// that they send to peers have been applied by the second.
const ROUNDS: usize = 2;

/// Instances on one clock that only the test advances.
pub struct Fleet {
    clock: Arc<PausedClock>,
    pub entries: Vec<Entry>,
    pub store: StoreStandin,
}

impl Fleet {
    /// Starts ready instances with one target and links between all.
    pub async fn start(first: Published<'_>) -> Self {
        let store = StoreStandin::start();
        Fixture::default().publish(&store);
        first.publish(&store);
        let clock = Arc::new(PausedClock::default());
        let mut entries: Vec<Entry> = Vec::new();
        for _ in 0..INSTANCES {
            let seeds = entries.iter().map(|entry| entry.settings().peer_address);
            let seeds: Vec<_> = seeds.collect();
            let shared_clock = Arc::clone(&clock) as Arc<dyn Clock>;
            entries.push(start_with_clock(store.address(), &seeds, shared_clock).await);
        }
        let fleet = Self {
            clock,
            entries,
            store,
        };
        fleet
            .advance_until(|fleet| fleet.entries.iter().all(is_joined))
            .await;
        fleet
    }

    /// Starts a fleet with engines whose memory is too small for a large prompt.
    pub async fn of_small_engines(engines: &[TargetStandin; 5]) -> Self {
        let fleet = Fleet::start(Published::Engine(&engines[0])).await;
        for engine in &engines[1..] {
            fleet.add(Published::Engine(engine)).await;
        }
        let small = Fixture {
            version: 4,
            engine_tokens: ENGINE_TOKENS,
            ..Fixture::default()
        };
        small.publish(&fleet.store);
        let is_known = |fleet: &Fleet| fleet.entries.iter().all(|entry| entry.version() == 4);
        fleet.advance_until(is_known).await;
        fleet
    }

    pub async fn advance(&self, ms: u64) {
        for _ in 0..ms.div_ceil(STEP_MS) {
            self.clock.advance(STEP_MS);
            for _ in 0..ROUNDS {
                self.entries.iter().for_each(|entry| {
                    is_ready(entry);
                });
            }
            task::yield_now().await;
        }
    }

    pub async fn advance_until(&self, condition: impl Fn(&Self) -> bool) {
        while !condition(self) {
            self.advance(STEP_MS).await;
        }
    }

    /// Sends a request to an instance. Returns the status of its answer.
    pub fn status_of(&self, instance: usize, request: &CallerRequest) -> u16 {
        self.exchange(instance, request).status
    }

    /// Sends a request to an instance and returns the answer.
    pub fn exchange(&self, instance: usize, request: &CallerRequest) -> CallerResponse {
        let address = self.entries[instance].settings().caller_address;
        Caller::connect(address).exchange(request)
    }

    /// Publishes one more target and waits until all instances list it.
    pub async fn add(&self, target: Published<'_>) {
        target.publish(&self.store);
        let id = target.id().to_owned();
        self.advance_until(|fleet| {
            let mut entries = fleet.entries.iter();
            entries.all(|entry| entry.ready_targets().contains(&id))
        })
        .await;
    }

    /// Publishes all engines as draining and waits until no instance lists any.
    pub async fn drain(&self, engines: &[TargetStandin]) {
        for engine in engines {
            let (id, address) = (engine.id(), engine.address());
            self.store
                .publish_target(id, ENGINE_SERVICE, address, "draining");
        }
        self.advance_until(|fleet| {
            let mut entries = fleet.entries.iter();
            entries.all(|entry| entry.ready_targets().is_empty())
        })
        .await;
    }
}

/// A target with the kind of service that it is published for.
#[derive(Clone, Copy)]
pub enum Published<'a> {
    Engine(&'a TargetStandin),
    Plain(&'a TargetStandin),
}

impl<'a> Published<'a> {
    fn publish(self, store: &StoreStandin) {
        match self {
            Self::Engine(target) => store.publish_engine(target),
            Self::Plain(target) => store.publish_plain(target),
        }
    }

    fn id(self) -> &'a str {
        match self {
            Self::Engine(target) | Self::Plain(target) => target.id(),
        }
    }
}

fn is_joined(entry: &Entry) -> bool {
    let metrics = get(entry.settings().metrics_address, "/metrics").body;
    let linked = format!("whinlatch_entry_linked_peers {}", INSTANCES - 1);
    is_ready(entry) && metrics.contains(&linked)
}
