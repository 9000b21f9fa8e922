use {
    super::{
        args::PathArgs, child::Program, client, errors::PathError, folder::Folder,
        process_use::ProcessUse,
    },
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    whinlatch_wire::{
        caller::STATUS_PATH, platform::InstanceList, report::StatusReport, target::LoadReport,
        target::REPORT_PATH,
    },
};

/// Client account of all requests.
pub const ACCOUNT: &str = "members";
/// Key of the account.
pub const KEY: &str = "example-key";
/// Its SHA-256 digest, as records hold it.
const KEY_SHA256: &str = "c018c41c1afaf2c0b66c64f97d0ee135657b699ad260f299234cd40a5d625e0e";
/// Model whose answers come as fast as they can.
pub const FAST_MODEL: &str = "fast";
/// Model whose answers have a piece a second.
pub const SLOW_MODEL: &str = "slow";
/// Pieces of a fast answer.
pub const FAST_PIECES: u32 = 8;
/// Pieces of a slow answer: more than a run waits for.
pub const SLOW_PIECES: u32 = 4_000;
/// Requests that each engine works on at once: more than any run asks.
const SLOTS: u32 = 8_192;
/// Tokens of each engine's memory: more than any run fills.
const MEMORY_TOKENS: u64 = 1_000_000_000;
/// Prompt tokens an engine reads a second: so many that no run waits for them.
const PREFILL_TOKENS_PER_S: u64 = 100_000_000;
/// Connections that a daemon takes unless told otherwise.
const MAX_CONNECTIONS: u32 = 2_000;
/// Connections beside the streams.
const OTHER_CONNECTIONS: u32 = 200;
/// Time for all processes to find each other.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two looks at something that is waited for.
pub const LOOK: Duration = Duration::from_millis(20);

/// The processes of a run.
#[derive(Debug)]
pub struct Setup {
    /// The daemon that is measured, then its peers.
    daemons: Vec<Program>,
    platform: Program,
    fast: Program,
    slow: Program,
    folder: Folder,
    max_connections: u32,
}

impl Setup {
    /// Starts the fakes and one daemon, and waits until it may send to both engines.
    pub async fn start(args: &PathArgs) -> Result<Self, PathError> {
        let mut setup = Self {
            daemons: Vec::new(),
            platform: standin("platform", &json!({}))?,
            fast: standin("engine", &engine_options(FAST_MODEL, 50_000.0, FAST_PIECES))?,
            slow: standin("engine", &engine_options(SLOW_MODEL, 1.0, SLOW_PIECES))?,
            folder: Folder::new()?,
            max_connections: MAX_CONNECTIONS.max(args.streams.saturating_add(OTHER_CONNECTIONS)),
        };
        setup.publish_records().await?;
        setup.start_daemon()?;
        let holds = |status: &StatusReport| {
            let known = |target: &&_| knows_run(target);
            status.targets.iter().filter(known).count() == 2
        };
        setup
            .wait_for(0, "the daemon didn't reach both engines", holds)
            .await?;
        Ok(setup)
    }

    /// The address of the measured daemon.
    pub fn daemon(&self) -> SocketAddr {
        self.daemons[0].address()
    }

    /// What the measured daemon uses.
    pub fn daemon_use(&self) -> ProcessUse {
        ProcessUse::of(self.daemons[0].id())
    }

    /// The engine that answers at once.
    pub fn fast_engine(&self) -> SocketAddr {
        self.fast.address()
    }

    /// The load report of the engine that answers at once.
    pub async fn fast_report(&self) -> Result<LoadReport, PathError> {
        client::get(self.fast.address(), REPORT_PATH).await
    }

    /// Starts peers of the measured daemon and waits until each daemon is linked to all others.
    pub async fn add_peers(&mut self, peers: u32) -> Result<(), PathError> {
        for _ in 0..peers {
            self.start_daemon()?;
        }
        self.list_daemons().await?;
        for number in 0..self.daemons.len() {
            let linked = |status: &StatusReport| {
                let linked = status.peers.iter().filter(|peer| peer.linked);
                linked.count() == peers as usize
            };
            self.wait_for(number, "the daemons didn't link up", linked)
                .await?;
        }
        Ok(())
    }

    /// Waits until the status of the measured daemon is as expected.
    pub async fn wait_for_daemon(
        &self,
        late: &'static str,
        holds: impl Fn(&StatusReport) -> bool,
    ) -> Result<(), PathError> {
        self.wait_for(0, late, holds).await
    }

    async fn wait_for(
        &self,
        number: usize,
        late: &'static str,
        holds: impl Fn(&StatusReport) -> bool,
    ) -> Result<(), PathError> {
        let until = Instant::now() + READY_TIMEOUT;
        loop {
            let address = self.daemons[number].address();
            let status: StatusReport = client::get(address, STATUS_PATH).await?;
            if holds(&status) {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(PathError::Late(late));
            }
            async_std::task::sleep(LOOK).await;
        }
    }

    fn start_daemon(&mut self) -> Result<(), PathError> {
        let instance = instance(self.daemons.len());
        let settings = json!({
            "instance": instance,
            "failure_domain": "a",
            "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "platform_address": self.platform.address(),
            "peer_key": "a key of the measurement",
            "limits": { "max_connections": self.max_connections },
        });
        let name = format!("{instance}.jsonc");
        let file = self.folder.write(&name, &settings.to_string())?;
        let args = ["--settings".as_ref(), file.as_os_str()];
        self.daemons.push(Program::start("whinlatchd", &args)?);
        Ok(())
    }

    async fn publish_records(&self) -> Result<(), PathError> {
        let account = json!({
            "account": ACCOUNT, "key_sha256": [KEY_SHA256],
            "requests_per_s": 1_000_000, "tokens_per_s": 1_000_000_000_000_u64,
        });
        self.publish("accounts/members", "account", &account)
            .await?;
        for (model, engine) in [(FAST_MODEL, &self.fast), (SLOW_MODEL, &self.slow)] {
            let route = json!({
                "subject": { "type": "model", "model": model },
                "providers": [{ "provider": "old", "share_per_mille": 1_000 }],
            });
            self.publish(&format!("routes/{model}"), "route", &route)
                .await?;
            let target = json!({
                "target": model, "address": engine.address(), "failure_domain": "a",
                "provider": "old", "slots": SLOTS,
                "role": {
                    "type": "engine", "models": [{ "model": model, "version": 1 }],
                    "memory_tokens": MEMORY_TOKENS,
                    "prefill_tokens_per_s": PREFILL_TOKENS_PER_S,
                    "enforces_fencing": true,
                },
            });
            self.publish(&format!("targets/{model}"), "target", &target)
                .await?;
        }
        Ok(())
    }

    async fn publish(&self, key: &str, kind: &str, spec: &Value) -> Result<(), PathError> {
        let value = json!({ "schema": 2, "kind": kind, "spec": spec }).to_string();
        self.control(&json!({ "publish": { "key": key, "value": value } }))
            .await
    }

    async fn list_daemons(&self) -> Result<(), PathError> {
        let listed = |(number, daemon): (usize, &Program)| {
            json!({
                "instance": instance(number), "failure_domain": "a",
                "caller_address": daemon.addresses[0], "peer_address": daemon.addresses[1],
                "state": "live",
            })
        };
        let daemons: Vec<Value> = self.daemons.iter().enumerate().map(listed).collect();
        let list = json!({ "version": 0, "daemons": daemons, "targets": [] });
        let list: InstanceList = serde_json::from_value(list).expect("the list has its own form");
        self.control(&json!({ "instances": list })).await
    }

    async fn control(&self, order: &Value) -> Result<(), PathError> {
        client::post(self.platform.address(), "/standin/control", order).await
    }
}

fn standin(kind: &str, options: &Value) -> Result<Program, PathError> {
    let options = options.to_string();
    Program::start("whinlatch-standins", &[kind, "--options", &options])
}

fn engine_options(model: &str, pieces_per_s: f64, pieces: u32) -> Value {
    json!({
        "models": [{ "model": model, "version": 1 }],
        "slots": SLOTS,
        "queue": SLOTS,
        "memory_tokens": MEMORY_TOKENS,
        "prefill_tokens_per_s": PREFILL_TOKENS_PER_S,
        "attention_ms_per_million_pairs": 0,
        "chunk_tokens": MEMORY_TOKENS,
        "decode_tokens_per_s": pieces_per_s,
        "answer_tokens": pieces,
    })
}

fn instance(number: usize) -> String {
    format!("entry-{number}")
}

fn knows_run(target: &whinlatch_wire::report::TargetStatus) -> bool {
    target.incarnation.is_some()
}
