use {
    super::{
        decision_line::{Decision, DecisionLines},
        entry_metrics::EntryMetrics,
        latch::Latch,
        links::{EncodeFault, PeerLinks, Queued},
        open_requests::OpenRequests,
        target_pool::TargetPool,
    },
    crate::clock::Clock,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    whinlatch_core::MonoMs,
    whinlatch_platform::InstanceSettings,
    whinlatch_serving::{
        Serving,
        fleet::Frame,
        names::{ServiceName, TargetId},
        targets::{EvacuationChange, TargetNotice},
    },
};

/// Time for which an instance counts as starting, in ms: as long as callers take to reconnect after
/// all instances were lost. During it, connections use short timeouts; a peer or store that misses them
/// may only be slow, so the usual timeouts apply afterwards.
const STARTING_PERIOD_MS: u64 = 3_000;

/// State shared by the tasks of an entry instance.
#[derive(Debug)]
pub struct EntryState {
    /// Settings as of the start; later seeds are in [`Self::seed_peers`].
    pub settings: InstanceSettings,
    /// Source of all times; paused in tests.
    pub clock: Arc<dyn Clock>,
    /// Idle connections to targets.
    pub pool: TargetPool,
    /// Outgoing links to peers and requests pending with them.
    pub links: PeerLinks,
    /// Metrics, shared with the log thread.
    pub metrics: Arc<EntryMetrics>,
    /// Callers' requests that are being served.
    pub open_requests: OpenRequests,
    /// When the instance started.
    pub started_at: MonoMs,
    serving: Mutex<Serving>,
    seed_peers: Mutex<Vec<SocketAddr>>,
    log: DecisionLines,
    /// Set once the instance has a configuration and targets.
    ready: Latch,
    /// Set when the instance leaves and its callers have had time to learn of others.
    announced: Latch,
    /// Set when the instance leaves and reads no request any more.
    closed: Latch,
    /// Set when the process is about to exit whatever is open.
    exiting: Latch,
}

impl EntryState {
    /// Creates the state of an instance that starts now.
    pub fn new(
        settings: InstanceSettings,
        clock: Arc<dyn Clock>,
        serving: Serving,
        metrics: Arc<EntryMetrics>,
        log: DecisionLines,
    ) -> Self {
        Self {
            seed_peers: Mutex::new(settings.seed_peers.clone()),
            started_at: clock.now(),
            settings,
            clock,
            pool: TargetPool::default(),
            links: PeerLinks::default(),
            open_requests: OpenRequests::default(),
            metrics,
            serving: Mutex::new(serving),
            log,
            ready: Latch::default(),
            announced: Latch::default(),
            closed: Latch::default(),
            exiting: Latch::default(),
        }
    }

    /// Returns whether the instance started recently, so that its peers may be starting as well.
    pub fn is_starting(&self) -> bool {
        self.now().since(self.started_at) < STARTING_PERIOD_MS
    }

    /// Wakes waiting requests if the instance is ready. Called after each change from the store or a peer.
    pub fn notify_if_ready(&self) {
        if self.serving().is_ready() {
            self.ready.set();
        }
    }

    /// Returns whether the instance has ever been ready.
    pub fn was_ready(&self) -> bool {
        self.ready.is_set()
    }

    /// Completes when the instance is ready for the first time.
    pub async fn until_ready(&self) {
        self.ready.wait().await;
    }

    /// Has callers' idle connections close, except those that haven't carried a request yet.
    pub fn close_idle_connections(&self) {
        self.announced.set();
    }

    /// Has all callers' connections close on which no request is being read or served, and refuses what is read after.
    pub fn close_connections(&self) {
        self.serving().close();
        self.announced.set();
        self.closed.set();
    }

    /// Has requests end of which the answer hasn't begun: the process is about to exit.
    pub fn end_unanswered_requests(&self) {
        self.exiting.set();
    }

    /// Completes when requests are to end of which the answer hasn't begun.
    pub async fn until_exit(&self) {
        self.exiting.wait().await;
    }

    /// Completes when callers' idle connections are to close that have carried a request.
    pub async fn until_idle_connections_close(&self) {
        self.announced.wait().await;
    }

    /// Completes when all callers' connections are to close on which no request is being read or served.
    pub async fn until_connections_close(&self) {
        self.closed.wait().await;
    }

    /// Locks the decision state. The guard must not be held across an await.
    pub fn serving(&self) -> MutexGuard<'_, Serving> {
        self.serving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the peer addresses from the last read of the settings.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let seeds = self.seed_peers.lock();
        seeds.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the seed peers. Returns whether they differ from the former ones.
    pub fn set_seed_peers(&self, seed_peers: Vec<SocketAddr>) -> bool {
        let current = self.seed_peers.lock();
        let mut current = current.unwrap_or_else(PoisonError::into_inner);
        let former = std::mem::replace(&mut *current, seed_peers);
        former != *current
    }

    /// Returns the current time of the clock.
    pub fn now(&self) -> MonoMs {
        self.clock.now()
    }

    /// Queues a frame on the links to the given peers; logs a frame that can't be encoded.
    pub fn send(&self, to: &[SocketAddr], frame: &Frame) {
        self.record_queued(frame, self.links.send(to, frame));
    }

    /// Queues a frame on all links; logs a frame that can't be encoded.
    pub fn send_to_all(&self, frame: &Frame) {
        self.record_queued(frame, self.links.send_to_all(frame));
    }

    fn record_queued(&self, frame: &Frame, queued: Result<Queued, EncodeFault>) {
        match queued {
            Ok(Queued { frames, bytes }) => {
                let kind = frame.kind().name();
                self.metrics.record_frames(kind, frames, bytes);
            }
            Err(fault) => self.log(&Decision::Fault {
                part: "links",
                fault: fault.to_string(),
            }),
        }
    }

    /// Applies what a target reports about itself in its answer to a request sent at `sent_at`, and logs
    /// it if it is new.
    pub fn apply_notice(&self, sent_at: MonoMs, target: &TargetId, notice: &TargetNotice) {
        self.metrics.record_notice(notice);
        let is_new = self
            .serving()
            .apply_target_notice(self.now(), sent_at, target, notice);
        if is_new {
            self.log(&Decision::Noticed {
                target: target.to_string(),
                limit_per_s: notice.limit_per_s,
                is_leaving: notice.is_leaving,
                retry_after_ms: notice.retry_after_ms,
            });
        }
    }

    /// Logs that no target of a service can be reached.
    pub fn log_out_of_reach(&self, service: &ServiceName) {
        self.log_reach(service, false);
    }

    /// Logs that targets of a service can be reached again.
    pub fn log_in_reach(&self, service: &ServiceName) {
        self.log_reach(service, true);
    }

    fn log_reach(&self, service: &ServiceName, in_reach: bool) {
        let has_peer = self.serving().has_forward_peer(self.now(), service, &[]);
        self.log(&Decision::Reach {
            service: service.to_string(),
            in_reach,
            has_peer,
        });
    }

    /// Logs the begin or end of an evacuation; `source` is `store` or `peer`.
    pub fn log_evacuation(&self, change: &EvacuationChange, source: &'static str) {
        let targets = self.serving().count_targets_in(&change.failure_domain);
        self.log(&Decision::Evacuation {
            failure_domain: change.failure_domain.to_string(),
            is_evacuated: change.is_evacuated,
            targets,
            revision: change.revision,
            source,
        });
    }

    /// Updates the metrics of what this instance knows of targets. Called when metrics are read, since it visits
    /// each target.
    pub fn update_target_metrics(&self) {
        let now = self.now();
        let serving = self.serving();
        let evacuated_domains = serving.evacuated_domains().len();
        let cold_targets = serving.cold_target_count(now);
        let call_picture_age_ms = serving.call_picture_age_ms(now);
        drop(serving);
        self.metrics.record_targets(evacuated_domains, cold_targets);
        self.metrics.record_call_picture(call_picture_age_ms);
    }

    /// Completes once all lines that were queued for the log have been written, or after a bounded time.
    pub async fn flush_log(&self) {
        self.log.flush(self.clock.as_ref()).await;
    }

    /// Queues a line for the log.
    pub fn log(&self, decision: &Decision) {
        self.log.write(decision);
    }
}
