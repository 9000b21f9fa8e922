use {
    super::{
        caller_connection::serve_callers,
        decision_line::{Decision, DecisionLines},
        directory::serve_questions,
        engine_reports::read_reports,
        entry_metrics::EntryMetrics,
        entry_state::EntryState,
        links::{keep_links, take_links},
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
    async_std::task::{self, JoinHandle},
    std::{env, fs, path::PathBuf, sync::Arc},
    whinlatch_platform::{InstanceSettings, SETTINGS_VARIABLE, read_settings},
    whinlatch_serving::{Serving, StoreRole, fleet::Member, mechanism::DisabledMechanisms},
};

/// Time between two looks whether a leaving instance is idle, in ms.
const IDLE_LOOK_MS: u64 = 50;
/// Time after the signal to stop for which the instance stays even if it is idle, in ms: callers
/// keep the list of addresses for three times its lifetime of a second at most, and still connect.
const STAY_MS: u64 = 3_600;
/// Time between two readings of the settings file, in ms: it may change without a signal.
const REREAD_MS: u64 = 5_000;
/// Time before the kill at which the process ends, in ms.
const END_MARGIN_MS: u64 = 300;

/// How an entry instance is started.
#[derive(Debug, Clone, Default)]
pub struct EntryOptions {
    /// Whether the settings are checked and nothing else is done.
    pub check: bool,
    /// Parts of the decisions that are switched off.
    pub without: DisabledMechanisms,
    /// Port of the counters, in place of the one that the settings give.
    pub metrics_port: Option<u16>,
}

/// A running entry instance. Dropped, it ends at once.
#[derive(Debug)]
pub struct Entry {
    state: Arc<EntryState>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        for task in self.tasks.drain(..) {
            // Cancelling takes effect when the future is polled, which the executor does.
            task::spawn(task.cancel());
        }
    }
}

impl Entry {
    /// Listens and begins to read the store.
    ///
    /// # Errors
    /// An address is taken, or the system gives no thread.
    pub async fn start(
        mut settings: InstanceSettings,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, DaemonError> {
        let callers = listen(&mut settings.caller_address).await?;
        let ready = listen(&mut settings.ready_address).await?;
        let directory = listen(&mut settings.directory_address).await?;
        let peers = listen(&mut settings.peer_address).await?;
        let counters = listen(&mut settings.metrics_address).await?;
        let metrics = Arc::new(EntryMetrics::new()?);
        let log = DecisionLines::start(Arc::clone(&metrics))?;
        let own = own_member(&settings);
        log.write(&Decision::Started {
            instance: settings.instance.clone(),
            run: own.run,
        });
        let serving = Serving::new(own, settings.budget);
        let state = Arc::new(EntryState::new(settings, clock, serving, metrics, log));
        let shared = || Arc::clone(&state);
        let tasks = vec![
            task::spawn(read_store(shared())),
            task::spawn(read_reports(shared())),
            task::spawn(keep_links(shared())),
            task::spawn(take_links(shared(), peers)),
            task::spawn(serve_questions(shared(), ready)),
            task::spawn(serve_questions(shared(), directory)),
            task::spawn(serve_questions(shared(), counters)),
            task::spawn(serve_callers(shared(), callers)),
        ];
        Ok(Self { state, tasks })
    }

    /// Switches parts of the decisions off.
    pub fn switch_off(&self, without: DisabledMechanisms) {
        self.state.serving().disable_mechanisms(without);
    }

    /// The settings, with the ports that are listened on.
    pub fn settings(&self) -> &InstanceSettings {
        &self.state.settings
    }

    /// Version of the configuration in force, 0 if there is none.
    pub fn version(&self) -> u64 {
        self.state.serving().version()
    }

    /// Names of the targets that take requests, in order.
    pub fn ready_targets(&self) -> Vec<String> {
        self.state.serving().ready_targets()
    }

    /// How many times slower than published an engine is taken to be.
    pub fn pace_of(&self, engine: &str) -> f64 {
        self.state.serving().pace_of(engine)
    }

    /// Whether a target could not be reached a moment ago.
    pub fn is_unreachable(&self, target: &str) -> bool {
        let now = self.state.now();
        self.state.serving().is_unreachable(now, target)
    }

    /// Whether the store didn't answer when it was last asked.
    pub fn lost_store(&self) -> bool {
        self.state.serving().is_store_lost()
    }

    /// Whether this instance leaves the store to a relay whose word is fresh.
    pub fn goes_by_relay(&self) -> bool {
        let now = self.state.now();
        matches!(self.state.serving().store_role(now), StoreRole::Follow(_))
    }

    /// Number of peers that are heard of.
    pub fn peers(&self) -> usize {
        self.state.serving().live_peer_count(self.state.now())
    }

    /// Leaves: the peers are told at once, requests are served until there are none and callers
    /// have had time to learn of it, or the time is over.
    pub async fn leave(&self) {
        let state = &self.state;
        let told_at = state.now();
        let left_ms = state.settings.shutdown_ms.saturating_sub(END_MARGIN_MS);
        state.log(&Decision::Stopping { left_ms });
        state.serving().leave();
        loop {
            state.clock.sleep(IDLE_LOOK_MS).await;
            let passed_ms = state.now().since(told_at);
            let open_requests = state.metrics.open_requests();
            if passed_ms >= left_ms || (open_requests == 0 && passed_ms >= STAY_MS) {
                state.log(&Decision::Stopped { open_requests });
                return;
            }
        }
    }

    /// Takes in settings that were read again. Seeds count at once; addresses and the rest at the
    /// next start.
    pub fn reload(&self, settings: &InstanceSettings) {
        let former = &self.state.settings;
        let is_new = self.state.set_seed_peers(settings.seed_peers.clone());
        let same_rest = InstanceSettings {
            seed_peers: former.seed_peers.clone(),
            ..settings.clone()
        } == *former;
        let outcome = match (is_new, same_rest) {
            (false, true) => return,
            (true, true) => "new seeds are in force",
            (false, false) => "what has changed takes effect at the next start",
            (true, false) => "new seeds are in force, the rest takes effect at the next start",
        };
        self.state.log(&Decision::Reloaded {
            outcome: outcome.to_owned(),
        });
    }

    fn read_again(&self, options: &EntryOptions) {
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

/// Runs an entry instance until it is told to stop.
///
/// # Errors
/// It doesn't start.
pub fn run(options: &EntryOptions) -> Result<(), DaemonError> {
    let settings = load(options)?;
    if options.check {
        println!("the settings are good");
        return Ok(());
    }
    logs::set_up_lines()?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    task::block_on(serve(settings, clock, options))
}

async fn serve(
    settings: InstanceSettings,
    clock: Arc<dyn Clock>,
    options: &EntryOptions,
) -> Result<(), DaemonError> {
    let signals = process_signals()?;
    let entry = Entry::start(settings, Arc::clone(&clock)).await?;
    entry.switch_off(options.without);
    loop {
        let signalled = timeout(clock.as_ref(), REREAD_MS, signals.recv()).await;
        match signalled {
            Some(Ok(ProcessSignal::Stop)) => {
                entry.leave().await;
                return Ok(());
            }
            Some(Ok(ProcessSignal::Reload)) | None => entry.read_again(options),
            Some(Err(_closed)) => return Ok(()),
        }
    }
}
