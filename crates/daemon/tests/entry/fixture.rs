//! Helpers that start entry instances with a stand-in store and wait for their state.

use {
    async_std::task,
    std::{
        io::Read,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
    },
    whinlatch_daemon::{
        clock::{Clock, SystemClock},
        entry::Entry,
    },
    whinlatch_platform::InstanceSettings,
    whinlatch_platform_standins::{
        Behaviour, Caller, CallerRequest, CallerResponse, Fixture, StoreStandin, TargetStandin,
    },
    whinlatch_serving::{quotas::ColdLimitRule, retries::FleetBudgetRule},
};

/// An entry instance with a store of its own.
pub struct World {
    pub store: StoreStandin,
    pub entry: Entry,
}

/// Starts a ready instance whose store publishes the default configuration and these targets.
pub async fn world(engines: &[&TargetStandin], plain: &[&TargetStandin]) -> World {
    let store = StoreStandin::start();
    Fixture::default().publish(&store);
    for engine in engines {
        store.publish_engine(engine);
    }
    for target in plain {
        store.publish_plain(target);
    }
    let entry = start(&store, &[]).await;
    let world = World { store, entry };
    world.wait_until_ready().await;
    world
}

/// Starts an instance with the given store and seed peers, by the system's clock.
pub async fn start(store: &StoreStandin, seeds: &[SocketAddr]) -> Entry {
    start_with_clock(store.address(), seeds, Arc::new(SystemClock::start())).await
}

/// Starts an instance that takes its time from `clock`.
pub async fn start_with_clock(
    store_address: SocketAddr,
    seeds: &[SocketAddr],
    clock: Arc<dyn Clock>,
) -> Entry {
    Entry::start(settings(store_address, seeds), clock)
        .await
        .unwrap()
}

/// Returns the settings of an instance with the processor time of a whole core.
pub fn settings(store_address: SocketAddr, seeds: &[SocketAddr]) -> InstanceSettings {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    InstanceSettings {
        instance: "entry-1".to_owned(),
        failure_domain: "east".to_owned(),
        caller_address: any,
        ready_address: any,
        peer_address: any,
        directory_address: any,
        metrics_address: any,
        seed_peers: seeds.to_vec(),
        store_address,
        shutdown_ms: 4_000,
        is_first_start: false,
        max_entry_ttl_s: 5,
        cpu_millis: 1_000,
        budget: FleetBudgetRule {
            ratio: 0.2,
            slack: 100.0,
            window_ms: 10_000,
        },
        cold_limit: ColdLimitRule::default(),
        max_reservation_ms: 20_000,
        target_heartbeat_interval_ms: 1_200,
    }
}

pub fn target(id: &'static str, usual: Behaviour) -> TargetStandin {
    TargetStandin::start(id, usual)
}

/// Sends a GET on a new connection and returns the answer.
pub fn get(address: SocketAddr, path: &str) -> CallerResponse {
    let mut caller = Caller::connect(address);
    caller.write(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
    caller.read().expect("an answer comes")
}

/// Waits until a condition holds that other threads bring about.
pub async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        task::yield_now().await;
    }
}

pub fn is_ready(entry: &Entry) -> bool {
    get(entry.settings().ready_address, "/v1/ready").status == 200
}

impl World {
    pub fn connect(&self) -> Caller {
        Caller::connect(self.entry.settings().caller_address)
    }

    /// Sends a request on a new connection and returns the answer.
    pub fn exchange(&self, request: &CallerRequest) -> CallerResponse {
        self.connect().exchange(request)
    }

    pub async fn wait_until_ready(&self) {
        until(|| is_ready(&self.entry)).await;
    }

    /// Waits until a version of the configuration is active.
    pub async fn wait_for_version(&self, version: u64) {
        until(|| self.entry.version() == version).await;
    }
}

/// Accepts connections and never answers. Counts the connections accepted, those on which bytes were
/// received, and those that the other side closed.
#[derive(Debug, Default)]
pub struct SilentPeer {
    accepted: AtomicUsize,
    received: AtomicUsize,
    closed: AtomicUsize,
}

impl SilentPeer {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let peer = Arc::new(Self::default());
        let counts = Arc::clone(&peer);
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let counts = Arc::clone(&counts);
                counts.accepted.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let mut receives = || stream.read(&mut [0; 256]).is_ok_and(|count| count > 0);
                    if receives() {
                        counts.received.fetch_add(1, Ordering::SeqCst);
                    }
                    while receives() {}
                    counts.closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        (peer, address)
    }

    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }

    pub fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }

    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }
}

/// Starts two targets, of which the one that is asked first behaves like `first` and the other one like `second`.
pub fn targets_in_turn(first: &Behaviour, second: &Behaviour) -> [TargetStandin; 2] {
    let requests = Arc::new(AtomicUsize::new(0));
    ["t-1", "t-2"].map(|id| {
        let requests = Arc::clone(&requests);
        let (first, second) = (first.clone(), second.clone());
        TargetStandin::start_choosing(id, move |_request| {
            match requests.fetch_add(1, Ordering::SeqCst) {
                0 => first.clone(),
                _ => second.clone(),
            }
        })
    })
}
