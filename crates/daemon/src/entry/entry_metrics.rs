use {
    prometheus::{
        Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
        IntGauge, Opts, Registry, TextEncoder, core::Collector, proto::MetricFamily,
    },
    whinlatch_serving::{retries::BreakVerdict, targets::TargetNotice},
};

/// Buckets of durations, in seconds: from a small service call to the longest deadline.
const BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0,
];
/// Buckets of the age of a relay's status, in seconds: from one network crossing to the age at which the
/// status is stale.
const AGE_BUCKETS_S: [f64; 8] = [0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5];
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// How a second attempt of a late call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeOutcome {
    /// Its answer was passed on.
    Won,
    /// The first attempt succeeded before it.
    Lost,
    /// It failed, or neither attempt succeeded before the deadline or before the caller disconnected.
    Failed,
    /// It wasn't sent because of a limit, or for lack of another target.
    Denied,
}

impl HedgeOutcome {
    fn name(self) -> &'static str {
        match self {
            Self::Won => "won",
            Self::Lost => "lost",
            Self::Failed => "failed",
            Self::Denied => "denied",
        }
    }
}

/// Metrics of an entry instance.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    requests: IntCounterVec,
    attempts_failed: IntCounterVec,
    breaks: IntCounterVec,
    notices: IntCounterVec,
    hedges: IntCounterVec,
    forwards: IntCounterVec,
    durations: HistogramVec,
    first_events: Histogram,
    open_requests: IntGauge,
    store_failures: IntCounter,
    store_calls: IntCounterVec,
    unconfirmed_removals: IntCounter,
    relayed_changes: IntCounter,
    changes_from_peers: IntCounter,
    knowledge_age: Histogram,
    linked_peers: IntGauge,
    frames: IntCounterVec,
    frame_bytes: IntCounterVec,
    evacuated_domains: IntGauge,
    cold_targets: IntGauge,
    call_picture_age: Gauge,
    dropped_log_lines: IntCounter,
}

impl EntryMetrics {
    /// Creates and registers all metrics at zero.
    ///
    /// # Errors
    /// A name is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let durations = HistogramOpts::new(
            "whinlatch_entry_request_seconds",
            "Time from a request's first byte to the end of its answer.",
        );
        let first_events = HistogramOpts::new(
            "whinlatch_entry_first_event_seconds",
            "Time from a prompt's first byte to its first event.",
        );
        let knowledge_age = HistogramOpts::new(
            "whinlatch_entry_knowledge_age_seconds",
            "Age of the store's state as relays report it, each time that it is checked.",
        );
        let metrics = Self {
            registry: Registry::new(),
            requests: counter_vec(
                "whinlatch_entry_requests_total",
                "Requests that ended.",
                &["outcome", "status"],
            )?,
            attempts_failed: counter_vec(
                "whinlatch_entry_attempts_failed_total",
                "Attempts that failed.",
                &["may_have_run"],
            )?,
            breaks: counter_vec(
                "whinlatch_entry_breaks_total",
                "Connections that broke while their target may have run a request, by what was made of it.",
                &["verdict"],
            )?,
            notices: counter_vec(
                "whinlatch_entry_notices_total",
                "Answers in which a target reports a limit, a pause or its leaving.",
                &["kind"],
            )?,
            forwards: counter_vec(
                "whinlatch_entry_forwards_total",
                "Requests that were sent to a peer that was to serve them, by what it did",
                &["outcome"],
            )?,
            hedges: counter_vec(
                "whinlatch_entry_hedges_total",
                "Late calls that got a second attempt or were denied one.",
                &["outcome"],
            )?,
            durations: HistogramVec::new(durations.buckets(BUCKETS_S.to_vec()), &["outcome"])?,
            first_events: Histogram::with_opts(first_events.buckets(BUCKETS_S.to_vec()))?,
            open_requests: IntGauge::new("whinlatch_entry_open_requests", "Requests in flight.")?,
            store_failures: IntCounter::new(
                "whinlatch_entry_store_failures_total",
                "Reads of the store that failed.",
            )?,
            store_calls: counter_vec(
                "whinlatch_entry_store_calls_total",
                "Calls of the store.",
                &["kind", "reason"],
            )?,
            unconfirmed_removals: IntCounter::new(
                "whinlatch_entry_unconfirmed_removals_total",
                "Removals of targets that didn't take effect at once, since the entry may have expired in an outage.",
            )?,
            relayed_changes: IntCounter::new(
                "whinlatch_entry_changes_passed_on_total",
                "Changes of targets that were sent to followers, by change and instance.",
            )?,
            changes_from_peers: IntCounter::new(
                "whinlatch_entry_changes_told_total",
                "Changes of targets that were first received from peers.",
            )?,
            knowledge_age: Histogram::with_opts(knowledge_age.buckets(AGE_BUCKETS_S.to_vec()))?,
            frames: counter_vec(
                "whinlatch_entry_peer_frames_total",
                "Frames that were queued for peers, by their main content.",
                &["kind"],
            )?,
            frame_bytes: counter_vec(
                "whinlatch_entry_peer_frame_bytes_total",
                "Encoded size of the frames that were queued for peers, by their main content.",
                &["kind"],
            )?,
            linked_peers: IntGauge::new("whinlatch_entry_linked_peers", "Links to peers.")?,
            evacuated_domains: IntGauge::new(
                "whinlatch_entry_evacuated_domains",
                "Failure domains whose targets get nothing new.",
            )?,
            cold_targets: IntGauge::new(
                "whinlatch_entry_cold_targets",
                "Targets that take requests and may be cold.",
            )?,
            call_picture_age: Gauge::new(
                "whinlatch_entry_call_picture_age_seconds",
                "Time since the last row of a hub's view of plain targets; 0 at instances that have all reports, -1 before the first row.",
            )?,
            dropped_log_lines: IntCounter::new(
                "whinlatch_entry_dropped_log_lines_total",
                "Log lines that found the queue full.",
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        self.registry.register(Box::new(self.requests.clone()))?;
        self.registry
            .register(Box::new(self.attempts_failed.clone()))?;
        self.registry.register(Box::new(self.breaks.clone()))?;
        self.registry.register(Box::new(self.notices.clone()))?;
        self.registry.register(Box::new(self.hedges.clone()))?;
        self.registry.register(Box::new(self.forwards.clone()))?;
        self.registry.register(Box::new(self.durations.clone()))?;
        self.registry
            .register(Box::new(self.first_events.clone()))?;
        self.registry
            .register(Box::new(self.open_requests.clone()))?;
        self.registry
            .register(Box::new(self.store_failures.clone()))?;
        self.registry.register(Box::new(self.store_calls.clone()))?;
        self.registry
            .register(Box::new(self.unconfirmed_removals.clone()))?;
        self.registry
            .register(Box::new(self.relayed_changes.clone()))?;
        self.registry
            .register(Box::new(self.changes_from_peers.clone()))?;
        self.registry
            .register(Box::new(self.knowledge_age.clone()))?;
        self.registry
            .register(Box::new(self.linked_peers.clone()))?;
        self.registry.register(Box::new(self.frames.clone()))?;
        self.registry.register(Box::new(self.frame_bytes.clone()))?;
        self.registry
            .register(Box::new(self.evacuated_domains.clone()))?;
        self.registry
            .register(Box::new(self.cold_targets.clone()))?;
        self.registry
            .register(Box::new(self.call_picture_age.clone()))?;
        self.registry
            .register(Box::new(self.dropped_log_lines.clone()))
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// A metric can't be encoded.
    pub fn text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Counts a request that begins.
    pub fn record_request_started(&self) {
        self.open_requests.inc();
    }

    /// Counts a request that ended, with its outcome, status (0 for none) and duration in ms.
    pub fn record_request_ended(&self, outcome: &str, status: u16, took_ms: u64) {
        self.open_requests.dec();
        let status = status.to_string();
        self.requests.with_label_values(&[outcome, &status]).inc();
        self.durations
            .with_label_values(&[outcome])
            .observe(took_ms as f64 / MS_PER_S);
    }

    /// Records the time to a prompt's first event, in ms.
    pub fn record_first_event(&self, took_ms: u64) {
        self.first_events.observe(took_ms as f64 / MS_PER_S);
    }

    /// Counts a failed attempt.
    pub fn record_attempt_failed(&self, may_have_run: bool) {
        let label = if may_have_run { "yes" } else { "no" };
        self.attempts_failed.with_label_values(&[label]).inc();
    }

    /// Counts a connection that broke under a request, by the final verdict on it.
    pub fn record_break(&self, verdict: BreakVerdict) {
        self.breaks.with_label_values(&[verdict.name()]).inc();
    }

    /// Returns the number of breaks that were counted, whatever their verdict.
    pub fn judged_breaks(&self) -> u64 {
        let families = self.breaks.collect();
        families
            .iter()
            .flat_map(MetricFamily::get_metric)
            .map(|metric| metric.get_counter().get_value() as u64)
            .sum()
    }

    /// Counts what a target reports about itself in an answer, by kind.
    pub fn record_notice(&self, notice: &TargetNotice) {
        let kinds = [
            ("limit", notice.limit_per_s.is_some()),
            ("leaving", notice.is_leaving),
            ("retry_after", notice.retry_after_ms.is_some()),
        ];
        for (kind, is_present) in kinds {
            if is_present {
                self.notices.with_label_values(&[kind]).inc();
            }
        }
    }

    /// Counts a second attempt of a late call, or its denial.
    pub fn record_hedge(&self, outcome: HedgeOutcome) {
        self.hedges.with_label_values(&[outcome.name()]).inc();
    }

    /// Counts a request that was sent to a peer; `outcome` is a label.
    pub fn record_forward(&self, outcome: &str) {
        self.forwards.with_label_values(&[outcome]).inc();
    }

    /// Counts a read of the store that failed.
    pub fn record_store_failure(&self) {
        self.store_failures.inc();
    }

    /// Counts a call to the store by its kind and reason, which are labels.
    pub fn record_store_call(&self, kind: &str, reason: &str) {
        self.store_calls.with_label_values(&[kind, reason]).inc();
    }

    /// Counts a removal of a target that doesn't take effect at once.
    pub fn record_unconfirmed_removal(&self) {
        self.unconfirmed_removals.inc();
    }

    /// Counts changes of targets that are sent to followers.
    pub fn record_relayed_changes(&self, count: usize) {
        self.relayed_changes.inc_by(count as u64);
    }

    /// Counts changes of targets that a peer reported before the store did.
    pub fn record_peer_changes(&self, count: usize) {
        self.changes_from_peers.inc_by(count as u64);
    }

    /// Records the age of the followed relay's status, in ms.
    pub fn record_knowledge_age(&self, age_ms: u64) {
        self.knowledge_age.observe(age_ms as f64 / MS_PER_S);
    }

    /// Records the number of evacuated failure domains and of targets that may be cold.
    pub fn record_targets(&self, evacuated_domains: usize, cold_targets: usize) {
        self.evacuated_domains
            .set(i64::try_from(evacuated_domains).unwrap_or(i64::MAX));
        self.cold_targets
            .set(i64::try_from(cold_targets).unwrap_or(i64::MAX));
    }

    /// Records the age of the view of plain targets, in ms.
    pub fn record_call_picture(&self, age_ms: Option<u64>) {
        self.call_picture_age
            .set(age_ms.map_or(-1.0, |age_ms| age_ms as f64 / MS_PER_S));
    }

    /// Counts frames that were queued for peers, and their size in all, by kind.
    pub fn record_frames(&self, kind: &str, frames: u64, bytes: u64) {
        self.frames.with_label_values(&[kind]).inc_by(frames);
        self.frame_bytes.with_label_values(&[kind]).inc_by(bytes);
    }

    /// Counts a link that opened.
    pub fn record_link_opened(&self) {
        self.linked_peers.inc();
    }

    /// Counts a link that broke or was closed.
    pub fn record_link_closed(&self) {
        self.linked_peers.dec();
    }

    /// Counts a log line that was dropped.
    pub fn record_dropped_log_line(&self) {
        self.dropped_log_lines.inc();
    }
}

fn counter_vec(
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(name, help), labels)
}
