use {
    super::{
        args::PathArgs, child::Program, client, errors::PathError, process_usage::ProcessUsage,
        temp_dir::TempDir,
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
/// API key of the account.
pub const KEY: &str = "example-key";
/// SHA-256 digest of [`KEY`], as in the account's record.
const KEY_SHA256: &str = "c018c41c1afaf2c0b66c64f97d0ee135657b699ad260f299234cd40a5d625e0e";
/// Model of the engine that answers without delay.
pub const FAST_MODEL: &str = "fast";
/// Model of the engine that sends one chunk per second.
pub const SLOW_MODEL: &str = "slow";
/// Chunks of a fast answer.
pub const FAST_CHUNKS: u32 = 8;
/// Chunks of a slow answer; more than a run waits for.
pub const SLOW_CHUNKS: u32 = 4_000;
/// Slots of each engine; more than a run uses.
const SLOTS: u32 = 8_192;
/// Memory of each engine, in tokens; more than a run uses.
const MEMORY_TOKENS: u64 = 1_000_000_000;
/// Prefill rate of each engine, in tokens per second; high enough to be negligible.
const PREFILL_TOKENS_PER_S: u64 = 100_000_000;
/// Connection limit of a daemon unless the streams need more.
const MIN_CONNECTION_LIMIT: u32 = 2_000;
/// Connections of a daemon in addition to the streams.
const OTHER_CONNECTIONS: u32 = 200;
/// Maximum time to wait for a state of a daemon.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which the status of a daemon is polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The processes of a run.
#[derive(Debug)]
pub struct Setup {
    /// The measured daemon, followed by its peers.
    daemons: Vec<Program>,
    platform: Program,
    fast: Program,
    slow: Program,
    temp_dir: TempDir,
    max_connections: u32,
}

impl Setup {
    /// Starts the stand-ins and one daemon, and waits until the daemon knows the runs of both engines.
    pub async fn start(args: &PathArgs) -> Result<Self, PathError> {
        let mut setup = Self {
            daemons: Vec::new(),
            platform: start_standin("platform", &json!({}))?,
            fast: start_standin("engine", &engine_options(FAST_MODEL, 50_000.0, FAST_CHUNKS))?,
            slow: start_standin("engine", &engine_options(SLOW_MODEL, 1.0, SLOW_CHUNKS))?,
            temp_dir: TempDir::new()?,
            max_connections: MIN_CONNECTION_LIMIT
                .max(args.streams.saturating_add(OTHER_CONNECTIONS)),
        };
        setup.publish_records().await?;
        setup.start_daemon()?;
        let knows_both = |status: &StatusReport| {
            let known = |target: &&_| has_incarnation(target);
            status.targets.iter().filter(known).count() == 2
        };
        setup
            .wait_for(0, "the daemon didn't reach both engines", knows_both)
            .await?;
        Ok(setup)
    }

    /// Returns the caller address of the measured daemon.
    pub fn daemon(&self) -> SocketAddr {
        self.daemons[0].address()
    }

    /// Returns the resource usage of the measured daemon.
    pub fn daemon_usage(&self) -> ProcessUsage {
        ProcessUsage::of(self.daemons[0].id())
    }

    /// Returns the address of the engine that answers without delay.
    pub fn fast_engine(&self) -> SocketAddr {
        self.fast.address()
    }

    /// Reads the load report of the engine that answers without delay.
    pub async fn fast_report(&self) -> Result<LoadReport, PathError> {
        client::get(self.fast.address(), REPORT_PATH).await
    }

    /// Starts peers of the measured daemon and waits until each daemon has links to all others.
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

    /// Waits until `condition` holds for the status of the measured daemon.
    ///
    /// # Errors
    /// [`PathError::Timeout`] with `timeout_message` if it doesn't hold in time.
    pub async fn wait_for_daemon(
        &self,
        timeout_message: &'static str,
        condition: impl Fn(&StatusReport) -> bool,
    ) -> Result<(), PathError> {
        self.wait_for(0, timeout_message, condition).await
    }

    async fn wait_for(
        &self,
        number: usize,
        timeout_message: &'static str,
        condition: impl Fn(&StatusReport) -> bool,
    ) -> Result<(), PathError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let address = self.daemons[number].address();
            let status: StatusReport = client::get(address, STATUS_PATH).await?;
            if condition(&status) {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(PathError::Timeout(timeout_message));
            }
            async_std::task::sleep(POLL_INTERVAL).await;
        }
    }

    fn start_daemon(&mut self) -> Result<(), PathError> {
        let instance = instance_name(self.daemons.len());
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
        let file = self.temp_dir.write(&name, &settings.to_string())?;
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

    /// Publishes a record on the platform.
    async fn publish(&self, key: &str, kind: &str, spec: &Value) -> Result<(), PathError> {
        let value = json!({ "schema": 2, "kind": kind, "spec": spec }).to_string();
        self.control(&json!({ "publish": { "key": key, "value": value } }))
            .await
    }

    /// Publishes an instance list with all daemons, so that they open links to each other.
    async fn list_daemons(&self) -> Result<(), PathError> {
        let listed = |(number, daemon): (usize, &Program)| {
            json!({
                "instance": instance_name(number), "failure_domain": "a",
                "caller_address": daemon.addresses[0], "peer_address": daemon.addresses[1],
                "state": "live",
            })
        };
        let daemons: Vec<Value> = self.daemons.iter().enumerate().map(listed).collect();
        let list = json!({ "version": 0, "daemons": daemons, "targets": [] });
        let list: InstanceList =
            serde_json::from_value(list).expect("the list is a valid instance list");
        self.control(&json!({ "instances": list })).await
    }

    async fn control(&self, request: &Value) -> Result<(), PathError> {
        client::post(self.platform.address(), "/standin/control", request).await
    }
}

/// Starts a stand-in.
fn start_standin(kind: &str, options: &Value) -> Result<Program, PathError> {
    let options = options.to_string();
    Program::start("whinlatch-standins", &[kind, "--options", &options])
}

fn engine_options(model: &str, chunks_per_s: f64, chunks: u32) -> Value {
    json!({
        "models": [{ "model": model, "version": 1 }],
        "slots": SLOTS,
        "queue": SLOTS,
        "memory_tokens": MEMORY_TOKENS,
        "prefill_tokens_per_s": PREFILL_TOKENS_PER_S,
        "attention_ms_per_million_pairs": 0,
        "chunk_tokens": MEMORY_TOKENS,
        "decode_tokens_per_s": chunks_per_s,
        "answer_tokens": chunks,
    })
}

fn instance_name(number: usize) -> String {
    format!("entry-{number}")
}

fn has_incarnation(target: &whinlatch_wire::report::TargetStatus) -> bool {
    target.incarnation.is_some()
}
