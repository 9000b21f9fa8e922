use {
    crate::{
        callers::{self, AnswerStore, OpenConnections, OpenRequests},
        clock::{Clock, timeout},
        control::{ControlHandle, ControlMessage, ControlOptions, ControlThread},
        entropy::{random_u64, random_u128},
        errors::DaemonError,
        listen::listen,
        logs::DecisionLog,
        metrics::Metrics,
        peers,
        shared::Shared,
    },
    async_channel::Receiver,
    async_std::task::{self, JoinHandle},
    std::{net::SocketAddr, sync::Arc},
    whinlatch_core::{CoreOptions, Event},
    whinlatch_wire::{conf::Settings, ids::Incarnation},
};

/// Messages queued for the control thread.
const MESSAGE_QUEUE_LEN: usize = 4_096;

/// Longest time for which a stopped daemon waits for its callers' connections to close, in ms: twice as long as a
/// connection lingers after its last answer.
const CLOSE_TIMEOUT_MS: u64 = 2_000;
/// Time at the end of a shutdown for writing the outcomes of requests that were not finished, in ms; half of a
/// shorter shutdown.
const OUTCOMES_MS: u64 = 1_000;

/// Start options of a daemon.
#[derive(Debug)]
pub struct DaemonOptions {
    /// Checked settings; port 0 selects a free port.
    pub settings: Settings,
    /// Clock of all tasks.
    pub clock: Arc<dyn Clock>,
}

/// A running daemon. Dropping it stops it immediately, without a drain.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    stopped: Receiver<()>,
    listeners: Vec<ListenerTask>,
}

/// The task of a listener; cancelled when dropped.
#[derive(Debug)]
struct ListenerTask(Option<JoinHandle<()>>);

impl Drop for ListenerTask {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            // Cancelling takes effect only when the future is polled, so it is spawned.
            task::spawn(task.cancel());
        }
    }
}

impl Daemon {
    /// Starts listening and the control thread. Requests are accepted from then on.
    ///
    /// # Errors
    /// [`DaemonError`] if an address can't be listened on or a thread can't be started.
    pub async fn start(options: DaemonOptions) -> Result<Self, DaemonError> {
        let mut settings = options.settings;
        let callers = listen(&mut settings.caller_address).await?;
        let peers = listen(&mut settings.peer_address).await?;
        let metrics = Arc::new(Metrics::new()?);
        let (messages, inbox) = async_channel::bounded(MESSAGE_QUEUE_LEN);
        let shared = Arc::new(Shared {
            settings,
            incarnation: Incarnation(random_u128()),
            clock: options.clock,
            control: ControlHandle::new(messages),
            metrics: Arc::clone(&metrics),
            answers: AnswerStore::default(),
            open_requests: OpenRequests::new(Arc::clone(&metrics)),
            open_connections: OpenConnections::default(),
        });
        let (stopped, stopped_receiver) = async_channel::bounded(1);
        ControlThread::spawn(ControlOptions {
            core: core_options(&shared),
            shared: Arc::clone(&shared),
            inbox,
            log: DecisionLog::start(metrics)?,
            stopped,
        })?;
        let listeners = vec![
            ListenerTask(Some(task::spawn(callers::serve(
                Arc::clone(&shared),
                callers,
            )))),
            ListenerTask(Some(task::spawn(peers::serve(Arc::clone(&shared), peers)))),
        ];
        Ok(Self {
            shared,
            stopped: stopped_receiver,
            listeners,
        })
    }

    /// Returns the address for callers, with the port that was bound.
    pub fn caller_address(&self) -> SocketAddr {
        self.shared.settings.caller_address
    }

    /// Returns the address for peers, with the port that was bound.
    pub fn peer_address(&self) -> SocketAddr {
        self.shared.settings.peer_address
    }

    /// Returns the incarnation of this run.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation
    }

    /// Returns the daemon's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Starts a graceful shutdown: the daemon finishes requests in flight and accepts no new ones.
    pub async fn stop(&self) {
        self.shared
            .control
            .send(ControlMessage::Event(Event::Stop))
            .await;
    }

    /// Shuts down gracefully within `shutdown_ms`: finishes requests in flight, and ends those that take longer
    /// with what is known of them, so that their callers get an outcome before the process exits. Returns whether
    /// all answers were written.
    pub async fn shut_down(&mut self, shutdown_ms: u64) -> bool {
        let clock = Arc::clone(&self.shared.clock);
        let exits_at = clock.now() + shutdown_ms;
        let outcomes_ms = OUTCOMES_MS.min(shutdown_ms / 2);
        self.stop().await;
        let finished = self.wait_for_answers();
        let finished = timeout(clock.as_ref(), shutdown_ms - outcomes_ms, finished).await;
        let mut all_written = finished.is_some();
        if !all_written {
            log::warn!("app: the graceful shutdown takes too long, requests in flight are ended");
            let control = &self.shared.control;
            control.send(ControlMessage::Event(Event::Abort)).await;
            let ended = self.wait_for_answers();
            all_written = timeout(clock.as_ref(), outcomes_ms, ended).await.is_some();
        }
        let left_ms = exits_at.since(clock.now());
        self.close_connections(left_ms.min(CLOSE_TIMEOUT_MS)).await;
        all_written
    }

    /// Waits until the daemon is leaving and has no request in flight.
    pub async fn stopped(&self) {
        // Nothing is ever sent: the control thread closes the channel.
        let _closed = self.stopped.recv().await;
    }

    /// Waits until a leaving daemon has no request in flight, stops listening, and waits until the
    /// last answer is written and, for a limited time, until callers' connections are closed.
    pub async fn wait_until_stopped(&mut self) {
        self.wait_for_answers().await;
        self.close_connections(CLOSE_TIMEOUT_MS).await;
    }

    async fn wait_for_answers(&mut self) {
        self.stopped().await;
        self.listeners.clear();
        self.shared.open_requests.wait_for_end().await;
    }

    /// Closes callers' connections on which no request is being served, and waits for all to end. One on which
    /// half a request has arrived may stay open.
    async fn close_connections(&self, limit_ms: u64) {
        let ended = self.shared.open_connections.wait_for_end();
        let _ended = timeout(self.shared.clock.as_ref(), limit_ms, ended).await;
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.shared.control.close();
    }
}

fn core_options(shared: &Shared) -> CoreOptions {
    let settings = &shared.settings;
    CoreOptions {
        instance: settings.instance.clone(),
        failure_domain: settings.failure_domain.clone(),
        incarnation: shared.incarnation,
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
        seed_peers: settings.seed_peers.clone(),
        seed: random_u64(),
    }
}
