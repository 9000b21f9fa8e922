use {
    prometheus::{
        Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
        Registry, TextEncoder,
    },
    whinlatch_serving::targets::TargetNotice,
};

/// Buckets of durations, in seconds: a small service call to the longest deadline.
const BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0,
];
/// Buckets of the age of what is known, in seconds: from one crossing of the network to the age at which
/// a relay's word counts no more.
const AGE_BUCKETS_S: [f64; 8] = [0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5];
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// What an entry instance counts.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    requests: IntCounterVec,
    attempts_failed: IntCounterVec,
    notices: IntCounterVec,
    durations: HistogramVec,
    first_events: Histogram,
    open_requests: IntGauge,
    store_failures: IntCounter,
    store_calls: IntCounterVec,
    changes_passed_on: IntCounter,
    changes_told: IntCounter,
    knowledge_age: Histogram,
    linked_peers: IntGauge,
    dropped_log_lines: IntCounter,
}

impl EntryMetrics {
    /// Metrics that stand at zero.
    ///
    /// # Errors
    /// A name is taken twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let durations = HistogramOpts::new(
            "whinlatch_entry_request_seconds",
            "Time from a request's last byte to the end of its answer.",
        );
        let first_events = HistogramOpts::new(
            "whinlatch_entry_first_event_seconds",
            "Time from a prompt's last byte to its first event.",
        );
        let knowledge_age = HistogramOpts::new(
            "whinlatch_entry_knowledge_age_seconds",
            "Age of what relays told of the store, each time that it is looked at.",
        );
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                Opts::new("whinlatch_entry_requests_total", "Requests that ended."),
                &["outcome", "status"],
            )?,
            attempts_failed: IntCounterVec::new(
                Opts::new("whinlatch_entry_attempts_failed_total", "Attempts in vain."),
                &["may_have_run"],
            )?,
            notices: IntCounterVec::new(
                Opts::new(
                    "whinlatch_entry_notices_total",
                    "Answers in which a target says something of itself.",
                ),
                &["kind"],
            )?,
            durations: HistogramVec::new(durations.buckets(BUCKETS_S.to_vec()), &["outcome"])?,
            first_events: Histogram::with_opts(first_events.buckets(BUCKETS_S.to_vec()))?,
            open_requests: IntGauge::new("whinlatch_entry_open_requests", "Requests at work.")?,
            store_failures: IntCounter::new(
                "whinlatch_entry_store_failures_total",
                "Reads of the store that failed.",
            )?,
            store_calls: IntCounterVec::new(
                Opts::new("whinlatch_entry_store_calls_total", "Calls of the store."),
                &["kind", "reason"],
            )?,
            changes_passed_on: IntCounter::new(
                "whinlatch_entry_changes_passed_on_total",
                "Changes of targets that were passed on, by change and instance.",
            )?,
            changes_told: IntCounter::new(
                "whinlatch_entry_changes_told_total",
                "Changes of targets that peers told first.",
            )?,
            knowledge_age: Histogram::with_opts(knowledge_age.buckets(AGE_BUCKETS_S.to_vec()))?,
            linked_peers: IntGauge::new("whinlatch_entry_linked_peers", "Links to peers.")?,
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
        self.registry.register(Box::new(self.notices.clone()))?;
        self.registry.register(Box::new(self.durations.clone()))?;
        self.registry
            .register(Box::new(self.first_events.clone()))?;
        self.registry
            .register(Box::new(self.open_requests.clone()))?;
        self.registry
            .register(Box::new(self.store_failures.clone()))?;
        self.registry.register(Box::new(self.store_calls.clone()))?;
        self.registry
            .register(Box::new(self.changes_passed_on.clone()))?;
        self.registry
            .register(Box::new(self.changes_told.clone()))?;
        self.registry
            .register(Box::new(self.knowledge_age.clone()))?;
        self.registry
            .register(Box::new(self.linked_peers.clone()))?;
        self.registry
            .register(Box::new(self.dropped_log_lines.clone()))
    }

    /// The figures as text.
    ///
    /// # Errors
    /// They can't be encoded.
    pub fn text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Counts a request that begins.
    pub fn note_opened(&self) {
        self.open_requests.inc();
    }

    /// Counts a request that is over.
    pub fn note_ended(&self, outcome: &str, status: u16, took_ms: u64) {
        self.open_requests.dec();
        let status = status.to_string();
        self.requests.with_label_values(&[outcome, &status]).inc();
        self.durations
            .with_label_values(&[outcome])
            .observe(took_ms as f64 / MS_PER_S);
    }

    /// Requests at work.
    pub fn open_requests(&self) -> usize {
        usize::try_from(self.open_requests.get()).unwrap_or(0)
    }

    /// Notes the time to a first event.
    pub fn note_first_event(&self, took_ms: u64) {
        self.first_events.observe(took_ms as f64 / MS_PER_S);
    }

    /// Counts an attempt in vain.
    pub fn note_attempt_failed(&self, may_have_run: bool) {
        let label = if may_have_run { "yes" } else { "no" };
        self.attempts_failed.with_label_values(&[label]).inc();
    }

    /// Counts what a target says of itself in an answer.
    pub fn note_notice(&self, notice: &TargetNotice) {
        let kinds = [
            ("limit", notice.limit_per_s.is_some()),
            ("leaving", notice.is_leaving),
            ("retry_after", notice.retry_after_ms.is_some()),
        ];
        for (kind, is_said) in kinds {
            if is_said {
                self.notices.with_label_values(&[kind]).inc();
            }
        }
    }

    /// Counts a read of the store that failed.
    pub fn note_store_failure(&self) {
        self.store_failures.inc();
    }

    /// Counts a call of the store.
    pub fn note_store_call(&self, kind: &str, reason: &str) {
        self.store_calls.with_label_values(&[kind, reason]).inc();
    }

    /// Counts changes of targets that are passed on to peers.
    pub fn note_passed_on(&self, count: usize) {
        self.changes_passed_on.inc_by(count as u64);
    }

    /// Counts changes of targets that a peer told before the store did.
    pub fn note_told(&self, count: usize) {
        self.changes_told.inc_by(count as u64);
    }

    /// Notes how old what relays told of the store is.
    pub fn note_knowledge_age(&self, age_ms: u64) {
        self.knowledge_age.observe(age_ms as f64 / MS_PER_S);
    }

    /// Notes a link that opened.
    pub fn note_linked(&self) {
        self.linked_peers.inc();
    }

    /// Notes a link that broke.
    pub fn note_unlinked(&self) {
        self.linked_peers.dec();
    }

    /// Counts a log line that was dropped.
    pub fn note_dropped_log_line(&self) {
        self.dropped_log_lines.inc();
    }
}
