use {
    super::{
        decision_line::{Decision, DecisionLines},
        entry_metrics::EntryMetrics,
        links::{EncodeFault, PeerLinks},
        target_pool::TargetPool,
    },
    crate::clock::Clock,
    async_channel::{Receiver, Sender},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    whinlatch_core::MonoMs,
    whinlatch_platform::InstanceSettings,
    whinlatch_serving::{Serving, fleet::Frame, names::TargetId, targets::TargetNotice},
};

/// Time for which an instance counts as starting, in ms: as long as callers take to come back after
/// all instances were lost. What isn't reached in short tries until then may be slow, and not away.
const STARTING_MS: u64 = 3_000;

/// What the tasks of an entry instance share.
#[derive(Debug)]
pub struct EntryState {
    /// The settings.
    pub settings: InstanceSettings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Connections to targets.
    pub pool: TargetPool,
    /// Links to peers.
    pub links: PeerLinks,
    /// What is counted.
    pub metrics: Arc<EntryMetrics>,
    /// When the process began to serve.
    pub started_at: MonoMs,
    serving: Mutex<Serving>,
    seed_peers: Mutex<Vec<SocketAddr>>,
    log: DecisionLines,
    /// Closed once the instance knows what is published.
    ready: (Sender<()>, Receiver<()>),
}

impl EntryState {
    /// Puts the parts together.
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
            metrics,
            serving: Mutex::new(serving),
            log,
            ready: async_channel::bounded(1),
        }
    }

    /// Whether the instance started a moment ago, so that others may have done so with it.
    pub fn is_starting(&self) -> bool {
        self.now().since(self.started_at) < STARTING_MS
    }

    /// Notes that something published was taken in.
    pub fn note_published(&self) {
        if self.serving().is_ready() {
            self.ready.0.close();
        }
    }

    /// Whether the instance has ever known what is published.
    pub fn was_ready(&self) -> bool {
        self.ready.0.is_closed()
    }

    /// Ends when the instance knows what is published.
    pub async fn until_ready(&self) {
        // Nothing is ever sent, so that this ends with the channel's end.
        while self.ready.1.recv().await.is_ok() {}
    }

    /// What decides. Never held across an await.
    pub fn serving(&self) -> MutexGuard<'_, Serving> {
        self.serving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Addresses at which some peers link, as the settings have them now.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let seeds = self.seed_peers.lock();
        seeds.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes in the addresses of changed settings. Returns whether they are others.
    pub fn set_seed_peers(&self, seed_peers: Vec<SocketAddr>) -> bool {
        let held = self.seed_peers.lock();
        let mut held = held.unwrap_or_else(PoisonError::into_inner);
        let former = std::mem::replace(&mut *held, seed_peers);
        former != *held
    }

    /// This moment.
    pub fn now(&self) -> MonoMs {
        self.clock.now()
    }

    /// Sends a frame to some peers.
    pub fn send(&self, to: &[SocketAddr], frame: &Frame) {
        self.note_unsent(self.links.send(to, frame));
    }

    /// Sends a frame to all peers.
    pub fn send_to_all(&self, frame: &Frame) {
        self.note_unsent(self.links.send_to_all(frame));
    }

    fn note_unsent(&self, sent: Result<(), EncodeFault>) {
        if let Err(fault) = sent {
            self.log(&Decision::Trouble {
                part: "links",
                fault: fault.to_string(),
            });
        }
    }

    /// Takes in what a target says of itself in its answer to a request of `sent_at`.
    pub fn note_answer(&self, sent_at: MonoMs, target: &TargetId, notice: &TargetNotice) {
        self.metrics.note_notice(notice);
        let is_news = self
            .serving()
            .apply_target_notice(self.now(), sent_at, target, notice);
        if is_news {
            self.log(&Decision::Noticed {
                target: target.to_string(),
                limit_per_s: notice.limit_per_s,
                is_leaving: notice.is_leaving,
                retry_after_ms: notice.retry_after_ms,
            });
        }
    }

    /// Writes a decision to the log.
    pub fn log(&self, decision: &Decision) {
        self.log.write(decision);
    }
}
