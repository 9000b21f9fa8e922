//! An entry instance, the store that it reads and the targets that the store lists.

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
    whinlatch_serving::retries::FleetBudgetRule,
};

/// An entry instance before a store of its own.
pub struct World {
    pub store: StoreStandin,
    pub entry: Entry,
}

/// An instance whose store publishes the usual configuration and these targets.
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

/// An instance that reads a store and knows some peers.
pub async fn start(store: &StoreStandin, seeds: &[SocketAddr]) -> Entry {
    start_by_clock(store.address(), seeds, Arc::new(SystemClock::start())).await
}

/// An instance whose time goes as a clock says.
pub async fn start_by_clock(
    store_address: SocketAddr,
    seeds: &[SocketAddr],
    clock: Arc<dyn Clock>,
) -> Entry {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let settings = InstanceSettings {
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
        max_reservation_ms: 20_000,
    };
    Entry::start(settings, clock).await.unwrap()
}

pub fn target(id: &'static str, usual: Behaviour) -> TargetStandin {
    TargetStandin::start(id, usual)
}

/// Asks a question of the platform's on a connection of its own.
pub fn question(address: SocketAddr, path: &str) -> CallerResponse {
    let mut caller = Caller::connect(address);
    caller.write(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
    caller.read().expect("an answer comes")
}

/// Waits until something holds that events on other threads bring about.
pub async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        task::yield_now().await;
    }
}

pub fn is_ready(entry: &Entry) -> bool {
    question(entry.settings().ready_address, "/v1/ready").status == 200
}

impl World {
    pub fn connect(&self) -> Caller {
        Caller::connect(self.entry.settings().caller_address)
    }

    pub fn ask(&self, ask: &CallerRequest) -> CallerResponse {
        self.connect().exchange(ask)
    }

    pub async fn wait_until_ready(&self) {
        until(|| is_ready(&self.entry)).await;
    }

    /// Waits until a version is in force.
    pub async fn wait_for_version(&self, version: u64) {
        until(|| self.entry.version() == version).await;
    }
}

/// Takes connections and says nothing; counts those that came, those on which something was said, and
/// those that the other side closed.
#[derive(Debug, Default)]
pub struct SilentPeer {
    came: AtomicUsize,
    asked: AtomicUsize,
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
                counts.came.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let mut hears = || stream.read(&mut [0; 256]).is_ok_and(|count| count > 0);
                    if hears() {
                        counts.asked.fetch_add(1, Ordering::SeqCst);
                    }
                    while hears() {}
                    counts.closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        (peer, address)
    }

    pub fn came(&self) -> usize {
        self.came.load(Ordering::SeqCst)
    }

    pub fn asked(&self) -> usize {
        self.asked.load(Ordering::SeqCst)
    }

    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }
}
