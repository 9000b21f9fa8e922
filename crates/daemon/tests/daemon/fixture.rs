//! Starts the stand-ins of a platform, engines and a plain service, and daemons.

use {
    async_std::task,
    serde_json::json,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    whinlatch_daemon::{
        app::{Daemon, DaemonOptions},
        clock::SystemClock,
    },
    whinlatch_standins::{
        Engine, EngineOptions, PlainService, Platform, PlatformOptions, ServiceOptions,
    },
    whinlatch_wire::{
        conf::{LimitSettings, LogSettings, Settings},
        ids::ModelName,
        platform::{InstanceList, ListedDaemon, ListedState},
        record::ServedModel,
        report::StatusReport,
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
/// Time between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The stand-ins around the daemons of a test.
pub struct World {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub service: PlainService,
}

/// Starts a platform with records, engines that differ only in their name, and a plain service.
pub async fn world(engines: usize, engine: EngineOptions) -> World {
    let platform = Platform::start(PlatformOptions::default()).await.unwrap();
    let service = PlainService::start(ServiceOptions::default())
        .await
        .unwrap();
    let mut started = Vec::new();
    for _ in 0..engines {
        started.push(Engine::start(engine.clone()).await.unwrap());
    }
    let world = World {
        platform,
        engines: started,
        service,
    };
    world.publish_all(engine.memory_tokens);
    world
}

/// Options of an engine that answers fast.
pub fn fast_engine() -> EngineOptions {
    EngineOptions {
        models: vec![ServedModel {
            model: ModelName::new(MODEL),
            adapter: None,
            version: 1,
        }],
        decode_tokens_per_s: 2_000.0,
        answer_tokens: 32,
        report_lag_ms: 0,
        ..EngineOptions::default()
    }
}

/// Options of an engine whose answers take long enough to be interrupted.
pub fn slow_engine() -> EngineOptions {
    EngineOptions {
        decode_tokens_per_s: 20.0,
        answer_tokens: 4_000,
        ..fast_engine()
    }
}

impl World {
    fn publish_all(&self, memory_tokens: u64) {
        self.publish(
            "accounts/members",
            &record(
                "account",
                &json!({
                    "account": ACCOUNT, "key_sha256": [CALLER_KEY_SHA256],
                    "requests_per_s": 1e6, "tokens_per_s": 1e9,
                }),
            ),
        );
        self.publish(
            "routes/model",
            &route(&json!({ "type": "model", "model": MODEL })),
        );
        self.publish(
            "routes/labels",
            &route(&json!({ "type": "service", "service": "labels", "idempotent": false })),
        );
        let label_role = json!({ "type": "service", "service": "labels" });
        self.publish(
            "targets/labels",
            &target("labels", self.service.address(), &label_role),
        );
        for (number, engine) in self.engines.iter().enumerate() {
            let name = format!("engine-{number}");
            let role = json!({
                "type": "engine", "models": [{ "model": MODEL, "version": 1 }],
                "memory_tokens": memory_tokens, "prefill_tokens_per_s": 20_000,
                "enforces_fencing": true,
            });
            self.publish(
                &format!("targets/{name}"),
                &target(&name, engine.address(), &role),
            );
        }
    }

    /// Publishes a record on the platform.
    pub fn publish(&self, key: &str, value: &serde_json::Value) {
        self.platform.publish(key, Some(&value.to_string()));
    }

    /// Returns settings of a daemon that reads this platform.
    pub fn settings(&self, instance: &str) -> Settings {
        settings(instance, self.platform.address())
    }

    /// Starts a daemon and waits until it can send to every target.
    pub async fn daemon(&self, settings: Settings) -> Daemon {
        let daemon = start(settings).await;
        self.wait_until_ready(&daemon).await;
        daemon
    }

    /// Waits until a daemon knows the current incarnation of each target.
    pub async fn wait_until_ready(&self, daemon: &Daemon) {
        let targets = self.engines.len() + 1;
        until(async || {
            let status: StatusReport = super::client::get(daemon, "/v1/status").await;
            let known = status
                .targets
                .iter()
                .filter(|target| target.incarnation.is_some());
            known.count() == targets
        })
        .await;
    }

    /// Sets the daemons in the platform's list of instances.
    pub fn list(&self, daemons: &[(&str, &Daemon)]) {
        let daemons = daemons
            .iter()
            .map(|(instance, daemon)| ListedDaemon {
                instance: (*instance).into(),
                failure_domain: "a".into(),
                caller_address: daemon.caller_address(),
                peer_address: daemon.peer_address(),
                state: ListedState::Live,
            })
            .collect();
        self.platform.set_instances(InstanceList {
            version: 0,
            daemons,
            targets: Vec::new(),
        });
    }
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
        shutdown_ms: 30_000,
        limits: LimitSettings::default(),
        log: LogSettings::default(),
    }
}

/// Starts a daemon without waiting for its targets.
pub async fn start(settings: Settings) -> Daemon {
    let clock = Arc::new(SystemClock::start());
    Daemon::start(DaemonOptions { settings, clock })
        .await
        .unwrap()
}

/// Waits until a condition is true.
pub async fn until(condition: impl AsyncFn() -> bool) {
    while !condition().await {
        task::sleep(POLL_INTERVAL).await;
    }
}

fn record(kind: &str, spec: &serde_json::Value) -> serde_json::Value {
    json!({ "schema": 2, "kind": kind, "spec": spec })
}

fn route(subject: &serde_json::Value) -> serde_json::Value {
    record(
        "route",
        &json!({
            "subject": subject, "providers": [{ "provider": "old", "share_per_mille": 1_000 }],
        }),
    )
}

fn target(name: &str, address: SocketAddr, role: &serde_json::Value) -> serde_json::Value {
    record(
        "target",
        &json!({
            "target": name, "address": address, "failure_domain": "a", "provider": "old",
            "slots": 16, "role": role,
        }),
    )
}
