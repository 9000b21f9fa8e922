use {
    super::{
        caller_connection::serve_callers,
        decision_line::{Decision, DecisionLines},
        directory::serve_queries,
        engine_reports::read_reports,
        entry_metrics::EntryMetrics,
        entry_state::EntryState,
        forward::probe_targets,
        links::{accept_links, keep_links},
        store::read_store,
    },
    crate::{
        app::{ProcessSignal, process_signals},
        clock::{Clock, SystemClock, timeout},
        entropy::random_u64,
        errors::DaemonError,
        listen::listen,
        logs,
    },
    async_channel::Receiver,
    async_std::task::{self, JoinHandle},
    std::{env, fs, path::PathBuf, sync::Arc},
    whinlatch_platform::{ENTRY_TTL_S, InstanceSettings, SETTINGS_VARIABLE, read_settings},
    whinlatch_serving::{
        Serving, StoreRole,
        fleet::Member,
        mechanism::DisabledMechanisms,
        shutdown::{Shutdown, ShutdownRule},
    },
};

/// Time between two checks whether a leaving instance is idle, in ms.
const IDLE_CHECK_INTERVAL_MS: u64 = 50;
/// Number of times the TTL of an address list for which some callers use it.
const LIST_TTLS: u64 = 3;
/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;
/// Time between two checks whether the connections of a leaving instance are closed, in ms.
const CLOSE_CHECK_INTERVAL_MS: u64 = 5;
/// Time after the latest exit until which connections may close, in ms; the platform kills the process later.
const CLOSE_MARGIN_MS: u64 = 100;
/// Longest time for which a leaving instance waits for its callers' connections to close, in ms.
const CLOSE_TIMEOUT_MS: u64 = 200;
/// Time between two reads of the settings file, in ms: it may change without a signal.
const SETTINGS_REREAD_INTERVAL_MS: u64 = 5_000;

/// Options of the command line for an entry instance.
#[derive(Debug, Clone, Default)]
pub struct EntryOptions {
    /// Whether the process only checks the settings and exits.
    pub check: bool,
    /// Decision mechanisms that are switched off.
    pub disabled: DisabledMechanisms,
    /// Port on which metrics are served; `None` for the one in the settings.
    pub metrics_port: Option<u16>,
}

/// A running entry instance. Dropping it cancels its tasks.
#[derive(Debug)]
pub struct Entry {
    state: Arc<EntryState>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        for task in self.tasks.drain(..) {
            // A cancellation takes effect only when its future is polled, so the executor runs it.
            task::spawn(task.cancel());
        }
    }
}

impl Entry {
    /// Binds the listeners, and spawns the tasks that read the store, link to peers and serve callers.
    ///
    /// # Errors
    /// An address can't be bound, a metric can't be registered or the log thread can't be started.
    pub async fn start(
        mut settings: InstanceSettings,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, DaemonError> {
        let callers = listen(&mut settings.caller_address).await?;
        let ready = listen(&mut settings.ready_address).await?;
        let directory = listen(&mut settings.directory_address).await?;
        let peers = listen(&mut settings.peer_address).await?;
        let metrics_listener = listen(&mut settings.metrics_address).await?;
        let metrics = Arc::new(EntryMetrics::new()?);
        let log = DecisionLines::start(Arc::clone(&metrics))?;
        let own = own_member(&settings);
        log.write(&Decision::Started {
            instance: settings.instance.clone(),
            run: own.run,
        });
        let mut serving = Serving::new(own, settings.budget);
        serving.set_cold_rule(settings.cold_limit);
        serving.set_target_heartbeat_interval(settings.target_heartbeat_interval_ms);
        let state = Arc::new(EntryState::new(settings, clock, serving, metrics, log));
        let shared = || Arc::clone(&state);
        let tasks = vec![
            task::spawn(read_store(shared())),
            task::spawn(read_reports(shared())),
            task::spawn(keep_links(shared())),
            task::spawn(probe_targets(shared())),
            task::spawn(accept_links(shared(), peers)),
            task::spawn(serve_queries(shared(), ready)),
            task::spawn(serve_queries(shared(), directory)),
            task::spawn(serve_queries(shared(), metrics_listener)),
            task::spawn(serve_callers(shared(), callers)),
        ];
        Ok(Self { state, tasks })
    }

    /// Switches off decision mechanisms.
    pub fn disable_mechanisms(&self, disabled: DisabledMechanisms) {
        self.state.serving().disable_mechanisms(disabled);
    }

    /// Returns the settings, with port 0 replaced by the port that was bound.
    pub fn settings(&self) -> &InstanceSettings {
        &self.state.settings
    }

    /// Returns the version of the active configuration, 0 if there is none.
    pub fn version(&self) -> u64 {
        self.state.serving().version()
    }

    /// Returns the names of the ready targets, in order.
    pub fn ready_targets(&self) -> Vec<String> {
        self.state.serving().ready_targets()
    }

    /// Returns the factor by which an engine is estimated to be slower than published.
    pub fn pace_of(&self, engine: &str) -> f64 {
        self.state.serving().pace_of(engine)
    }

    /// Returns whether a connection to a target failed recently.
    pub fn is_unreachable(&self, target: &str) -> bool {
        let now = self.state.now();
        self.state.serving().is_unreachable(now, target)
    }

    /// Returns the number of connections that broke under a request and of which it is decided what that says of the
    /// request.
    pub fn judged_breaks(&self) -> u64 {
        self.state.metrics.judged_breaks()
    }

    /// Returns whether connections broke under requests of whose targets it isn't known yet whether they have died.
    pub fn has_unexplained_breaks(&self) -> bool {
        self.state.serving().has_unexplained_breaks()
    }

    /// Returns whether the store is considered lost: its last call failed.
    pub fn is_store_lost(&self) -> bool {
        self.state.serving().is_store_lost()
    }

    /// Returns whether this instance follows a relay whose status is fresh, and doesn't call the store.
    pub fn follows_relay(&self) -> bool {
        let now = self.state.now();
        matches!(self.state.serving().store_role(now), StoreRole::Follow(_))
    }

    /// Returns the number of live peers.
    pub fn peers(&self) -> usize {
        self.state.serving().live_peer_count(self.state.now())
    }

    /// Leaves the fleet: announces it to the peers immediately, and serves requests that can be finished until none are
    /// open and callers have had time to learn new addresses, or until shortly before the platform's kill.
    pub async fn leave(&self) {
        let state = &self.state;
        let rule = ShutdownRule {
            grace_ms: state.settings.shutdown_ms,
            list_use_ms: LIST_TTLS * ENTRY_TTL_S * MS_PER_S,
        };
        let now = state.now();
        let shutdown = state.serving().leave(now, rule);
        let left_ms = shutdown.exits_at().since(now);
        state.log(&Decision::Stopping { left_ms });
        while !shutdown.is_over(state.now(), state.open_requests.count()) {
            state.clock.sleep(IDLE_CHECK_INTERVAL_MS).await;
            if state.now() >= shutdown.announced_at() {
                state.close_idle_connections();
            }
        }
        self.close_connections(&shutdown).await;
        self.log_end();
        state.flush_log().await;
    }

    /// Closes callers' connections on which no request is being served, and waits for the requests that were taken until
    /// then, and a limited time for the connections.
    ///
    /// Guards against a request that is read, or even sent to a target, between the decision to exit and the exit.
    async fn close_connections(&self, shutdown: &Shutdown) {
        let state = &self.state;
        state.close_connections();
        if state.now() >= shutdown.exits_at() {
            state.end_unanswered_requests();
        }
        let latest = shutdown.exits_at() + CLOSE_MARGIN_MS;
        let closes_until = latest.min(state.now() + CLOSE_TIMEOUT_MS);
        let is_waiting = || {
            let open = &state.open_requests;
            let is_closing = open.connections() > 0 && state.now() < closes_until;
            is_closing || open.count() > 0 && state.now() < latest
        };
        while is_waiting() {
            state.clock.sleep(CLOSE_CHECK_INTERVAL_MS).await;
        }
    }

    /// Logs the end of the process, and each request that it cuts off.
    fn log_end(&self) {
        let state = &self.state;
        let open_requests = state.open_requests.list();
        for request in &open_requests {
            let took_ms = state.now().since(request.arrived);
            state.log(&Decision::cut_off(request, took_ms));
        }
        state.log(&Decision::Stopped {
            open_requests: open_requests.len(),
        });
    }

    /// Applies settings that were read again. New seeds are used immediately; all else takes effect at
    /// the next start.
    pub fn reload(&self, settings: &InstanceSettings) {
        let former = &self.state.settings;
        let is_new = self.state.set_seed_peers(settings.seed_peers.clone());
        let same_rest = InstanceSettings {
            seed_peers: former.seed_peers.clone(),
            ..settings.clone()
        } == *former;
        let outcome = match (is_new, same_rest) {
            (false, true) => return,
            (true, true) => "new seeds are active",
            (false, false) => "the changes take effect at the next start",
            (true, false) => {
                "new seeds are active, the other changes take effect at the next start"
            }
        };
        self.state.log(&Decision::Reloaded {
            outcome: outcome.to_owned(),
        });
    }

    fn reread_settings(&self, options: &EntryOptions) {
        match load(options) {
            Ok(settings) => self.reload(&settings),
            Err(fault) => self.state.log(&Decision::Reloaded {
                outcome: fault.to_string(),
            }),
        }
    }
}

fn own_member(settings: &InstanceSettings) -> Member {
    Member {
        run: random_u64(),
        failure_domain: settings.failure_domain.as_str().into(),
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
        cpu_millis: settings.cpu_millis,
        heartbeat_interval_ms: 0,
        version: 0,
        revision: 0,
        ready: false,
        leaving: false,
        stated_at_ms: 0,
        reads_rows: true,
    }
}

fn load(options: &EntryOptions) -> Result<InstanceSettings, DaemonError> {
    let path = env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .ok_or(DaemonError::NoSettings(SETTINGS_VARIABLE))?;
    let text =
        fs::read_to_string(&path).map_err(|source| DaemonError::Unreadable { path, source })?;
    let mut settings = read_settings(&text)?;
    if let Some(port) = options.metrics_port {
        settings.metrics_address.set_port(port);
    }
    Ok(settings)
}

/// Runs an entry instance until it receives a signal to stop.
///
/// # Errors
/// The settings can't be read, or [`Entry::start`] fails.
pub fn run(options: &EntryOptions) -> Result<(), DaemonError> {
    let settings = load(options)?;
    if options.check {
        println!("the settings are valid");
        return Ok(());
    }
    let signals = process_signals()?;
    logs::set_up_lines()?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    task::block_on(serve(settings, clock, options, &signals))
}

async fn serve(
    settings: InstanceSettings,
    clock: Arc<dyn Clock>,
    options: &EntryOptions,
    signals: &Receiver<ProcessSignal>,
) -> Result<(), DaemonError> {
    let entry = Entry::start(settings, Arc::clone(&clock)).await?;
    entry.disable_mechanisms(options.disabled);
    loop {
        let signalled = timeout(clock.as_ref(), SETTINGS_REREAD_INTERVAL_MS, signals.recv()).await;
        match signalled {
            Some(Ok(ProcessSignal::Stop)) => {
                entry.leave().await;
                return Ok(());
            }
            Some(Ok(ProcessSignal::Reload)) | None => entry.reread_settings(options),
            Some(Err(_closed)) => return Ok(()),
        }
    }
}
