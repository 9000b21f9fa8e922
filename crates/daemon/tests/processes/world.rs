//! The stand-ins around the daemons: a platform with records, engines and plain services.

use {
    super::{client::get, process::Process, wait::until},
    serde_json::{Value, json},
    std::net::SocketAddr,
    whinlatch_standins::{
        Engine, EngineOptions, PlainService, Platform, PlatformOptions, ServiceOptions,
    },
    whinlatch_wire::{
        conf::{LimitSettings, LogSettings, Settings},
        ids::{ModelName, Revision},
        platform::{InstanceList, ListedDaemon, ListedState, ListedTarget},
        record::ServedModel,
        report::{StatusReport, TargetStatus},
    },
};

/// Key that callers of the account present.
pub const CALLER_KEY: &str = "a key of the tests";
/// SHA-256 digest of [`CALLER_KEY`], in hexadecimal.
const CALLER_KEY_SHA256: &str = "773a4fa29b88e3f28dc7eaa78f758da4c2d2dafd157a4faaca8a58a9c888edc1";
/// The only client account.
pub const ACCOUNT: &str = "members";
/// The only model.
pub const MODEL: &str = "assistant";

/// The stand-ins around the daemons of a test.
pub struct World {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub services: Vec<PlainService>,
    memory_tokens: u64,
}

/// Number and options of the stand-ins.
pub struct WorldOptions {
    pub engines: usize,
    pub engine: EngineOptions,
    pub services: usize,
    pub service: ServiceOptions,
}

impl Default for WorldOptions {
    fn default() -> Self {
        Self {
            engines: 0,
            engine: engine(),
            services: 0,
            service: ServiceOptions::default(),
        }
    }
}

/// Options of an engine that gives an answer of 32 tokens within some tenths of a second.
pub fn engine() -> EngineOptions {
    EngineOptions {
        models: vec![ServedModel {
            model: ModelName::new(MODEL),
            adapter: None,
            version: 1,
        }],
        decode_tokens_per_s: 200.0,
        answer_tokens: 32,
        ..EngineOptions::default()
    }
}

impl World {
    /// Starts all stand-ins and publishes their records.
    pub async fn start(options: WorldOptions) -> Self {
        let platform = Platform::start(PlatformOptions::default()).await.unwrap();
        let mut engines = Vec::new();
        for _ in 0..options.engines {
            engines.push(Engine::start(options.engine.clone()).await.unwrap());
        }
        let mut services = Vec::new();
        for _ in 0..options.services {
            services.push(PlainService::start(options.service.clone()).await.unwrap());
        }
        let world = Self {
            platform,
            engines,
            services,
            memory_tokens: options.engine.memory_tokens,
        };
        world.publish_all(&world.platform);
        world
    }

    /// Publishes the records of this world on a platform.
    pub fn publish_all(&self, platform: &Platform) {
        publish(platform, "accounts/members", &account());
        publish(platform, "policy", &policy(3_000));
        let model = json!({ "type": "model", "model": MODEL });
        publish(platform, "routes/model", &route(&model));
        let labels = json!({ "type": "service", "service": "labels", "idempotent": false });
        publish(platform, "routes/labels", &route(&labels));
        for (number, engine) in self.engines.iter().enumerate() {
            self.publish_engine(platform, number, engine.address());
        }
        let role = json!({ "type": "service", "service": "labels" });
        for (number, service) in self.services.iter().enumerate() {
            let name = service_name(number);
            let key = format!("targets/{name}");
            publish(platform, &key, &target(&name, service.address(), &role));
        }
    }

    /// Publishes the record of an engine, with the address at which it is reached.
    pub fn publish_engine(&self, platform: &Platform, number: usize, address: SocketAddr) {
        let name = format!("engine-{number}");
        let role = json!({
            "type": "engine", "models": [{ "model": MODEL, "version": 1 }],
            "memory_tokens": self.memory_tokens, "prefill_tokens_per_s": 20_000,
            "enforces_fencing": true,
        });
        let key = format!("targets/{name}");
        publish(platform, &key, &target(&name, address, &role));
    }

    /// Starts daemons, lists them on the platform, and waits until each is ready and linked to all
    /// others.
    pub async fn fleet(&self, count: usize) -> Vec<Process> {
        let mut fleet = Vec::new();
        for number in 0..count {
            let settings = self.settings(&format!("d{number}"));
            fleet.push(Process::start(&settings).await);
        }
        self.list(&fleet);
        for daemon in &fleet {
            self.until_ready(daemon).await;
            until_linked(daemon, count - 1).await;
        }
        fleet
    }

    /// Returns settings of a daemon that reads this platform, on free ports.
    pub fn settings(&self, instance: &str) -> Settings {
        settings(instance, self.platform.address())
    }

    /// Sets the daemons in the platform's list of instances, without targets.
    pub fn list(&self, daemons: &[Process]) {
        self.list_with(daemons, Vec::new());
    }

    /// Sets the daemons and targets in the platform's list of instances.
    pub fn list_with(&self, daemons: &[Process], targets: Vec<ListedTarget>) {
        let daemons = daemons
            .iter()
            .enumerate()
            .map(|(number, daemon)| ListedDaemon {
                instance: format!("d{number}").as_str().into(),
                failure_domain: "a".into(),
                caller_address: daemon.callers,
                peer_address: daemon.peers,
                state: ListedState::Live,
            });
        self.platform.set_instances(InstanceList {
            version: 0,
            daemons: daemons.collect(),
            targets,
        });
    }

    /// Waits until a daemon knows the current incarnation of each target.
    pub async fn until_ready(&self, daemon: &Process) {
        let targets = self.engines.len() + self.services.len();
        until("the daemon knows each target", async || {
            let Some(status) = status(daemon).await else {
                return false;
            };
            let known = |target: &&TargetStatus| target.incarnation.is_some();
            status.targets.iter().filter(known).count() == targets
        })
        .await;
    }

    /// Returns how often a call was run at all services together.
    pub fn runs_of(&self, body: &str) -> u32 {
        let runs = |service: &PlainService| {
            let counted = service.stats().runs_by_key;
            counted.get(body).copied().unwrap_or(0)
        };
        self.services.iter().map(runs).sum()
    }
}

/// Returns the name of the service with a number.
pub fn service_name(number: usize) -> String {
    format!("labels-{number}")
}

/// Waits until a daemon has links to exactly `peers` others.
pub async fn until_linked(daemon: &Process, peers: usize) {
    until("the daemon is linked to the others", async || {
        linked(daemon).await == Some(peers)
    })
    .await;
}

/// Returns the number of links of a daemon; `None` if it doesn't answer.
pub async fn linked(daemon: &Process) -> Option<usize> {
    let status = status(daemon).await?;
    Some(status.peers.iter().filter(|peer| peer.linked).count())
}

/// Waits until a daemon has no request in flight.
pub async fn until_idle(daemon: &Process) {
    until("the daemon has no request in flight", async || {
        status(daemon)
            .await
            .is_some_and(|status| status.requests_in_flight == 0)
    })
    .await;
}

/// Returns a daemon's status; `None` if it doesn't answer.
pub async fn status(daemon: &Process) -> Option<StatusReport> {
    get(daemon.callers, "/v1/status").await
}

/// Returns settings of a daemon on free ports.
pub fn settings(instance: &str, platform: SocketAddr) -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        instance: instance.into(),
        failure_domain: "a".into(),
        caller_address: any_port,
        peer_address: any_port,
        platform_address: platform,
        seed_peers: Vec::new(),
        peer_key: "a key of all daemons".to_owned(),
        shutdown_ms: 300_000,
        limits: LimitSettings::default(),
        log: LogSettings::default(),
    }
}

/// Publishes a record on a platform and returns its revision.
pub fn publish(platform: &Platform, key: &str, value: &Value) -> Revision {
    platform.publish(key, Some(&value.to_string()))
}

/// Returns a policy with the time for which callers may cache entries. The budget of retries is so
/// large that it never runs out, because these tests aren't about it.
pub fn policy(entries_ttl_ms: u64) -> Value {
    let spec = json!({ "entries_ttl_ms": entries_ttl_ms, "retry_budget_per_mille": 1_000 });
    record("policy", &spec)
}

/// Returns a route with a single provider.
pub fn route(subject: &Value) -> Value {
    let providers = json!([{ "provider": "old", "share_per_mille": 1_000 }]);
    record(
        "route",
        &json!({ "subject": subject, "providers": providers }),
    )
}

fn account() -> Value {
    let spec = json!({
        "account": ACCOUNT, "key_sha256": [CALLER_KEY_SHA256],
        "requests_per_s": 1e6, "tokens_per_s": 1e9,
    });
    record("account", &spec)
}

fn target(name: &str, address: SocketAddr, role: &Value) -> Value {
    let spec = json!({
        "target": name, "address": address, "failure_domain": "a", "provider": "old",
        "slots": 16, "role": role,
    });
    record("target", &spec)
}

fn record(kind: &str, spec: &Value) -> Value {
    json!({ "schema": 2, "kind": kind, "spec": spec })
}
