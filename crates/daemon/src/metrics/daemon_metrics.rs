use {
    crate::callers::reason_name,
    http_types::Response,
    prometheus::{
        Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
        Registry, TextEncoder,
    },
    serde::de::DeserializeOwned,
    whinlatch_wire::caller::{OUTCOME_HEADER, Outcome, OutcomeKind, REASON_HEADER, Reason},
};

/// Histogram buckets of request durations, in seconds: from a short reply to the answer to a prompt
/// of a million tokens.
const DURATION_BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0, 600.0,
];
/// Label for an outcome or reason that the answer of a ticket's home doesn't state.
const NOT_STATED: &str = "not_told";
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;
/// Microseconds in a second.
const US_PER_S: f64 = 1_000_000.0;

/// The metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    durations: HistogramVec,
    first_tokens: Histogram,
    in_flight: IntGauge,
    connections: IntGauge,
    dropped_chunks: IntCounter,
    dropped_log_lines: IntCounter,
    peer_links: IntGauge,
    refused_links: IntCounter,
    platform_reads: IntCounterVec,
    control_seconds: prometheus::Counter,
    control_events: IntCounter,
}

impl Metrics {
    /// Creates and registers the metrics, all at zero.
    ///
    /// # Errors
    /// Two metrics have the same name, or one has an invalid name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                Opts::new("whinlatch_requests_total", "Requests that ended."),
                &["outcome", "reason"],
            )?,
            durations: HistogramVec::new(
                seconds(
                    "whinlatch_request_duration_seconds",
                    "Time from a request to the end of its answer.",
                ),
                &["outcome"],
            )?,
            first_tokens: Histogram::with_opts(seconds(
                "whinlatch_time_to_first_token_seconds",
                "Time from a prompt to the first chunk of its answer.",
            ))?,
            in_flight: IntGauge::new(
                "whinlatch_in_flight_requests",
                "Requests that have no whole answer yet.",
            )?,
            connections: IntGauge::new(
                "whinlatch_caller_connections",
                "Open connections of callers.",
            )?,
            dropped_chunks: IntCounter::new(
                "whinlatch_dropped_chunks_total",
                "Chunks and answers of targets that were not for the attempt or out of order.",
            )?,
            dropped_log_lines: IntCounter::new(
                "whinlatch_dropped_log_lines_total",
                "Decisions that were not logged because the log's reader was too slow.",
            )?,
            peer_links: IntGauge::new("whinlatch_peer_links", "Open links to other daemons.")?,
            refused_links: IntCounter::new(
                "whinlatch_peers_turned_away_total",
                "Links refused because the other side didn't prove that it holds the key.",
            )?,
            platform_reads: IntCounterVec::new(
                Opts::new("whinlatch_platform_reads_total", "Reads of the platform."),
                &["read", "result"],
            )?,
            control_seconds: prometheus::Counter::new(
                "whinlatch_control_seconds_total",
                "Time that the control thread spent on events.",
            )?,
            control_events: IntCounter::new(
                "whinlatch_control_events_total",
                "Events that the control thread handled.",
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let collectors: [Box<dyn prometheus::core::Collector>; 12] = [
            Box::new(self.requests.clone()),
            Box::new(self.durations.clone()),
            Box::new(self.first_tokens.clone()),
            Box::new(self.in_flight.clone()),
            Box::new(self.connections.clone()),
            Box::new(self.dropped_chunks.clone()),
            Box::new(self.dropped_log_lines.clone()),
            Box::new(self.peer_links.clone()),
            Box::new(self.refused_links.clone()),
            Box::new(self.platform_reads.clone()),
            Box::new(self.control_seconds.clone()),
            Box::new(self.control_events.clone()),
        ];
        collectors
            .into_iter()
            .try_for_each(|collector| self.registry.register(collector))
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// A metric can't be encoded.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Counts a request that ended `ms` after it was accepted.
    pub fn record_request(&self, outcome: &Outcome, ms: u64) {
        let reason = reason_name(outcome.reason);
        self.record_end(outcome.outcome.as_str(), &reason, ms);
    }

    /// Counts a forwarded request that ended with the answer of its ticket's home, `ms` after it was
    /// accepted.
    pub fn record_forwarded(&self, answer: &Response, ms: u64) {
        let outcome: Option<OutcomeKind> = known_value(answer, OUTCOME_HEADER);
        let reason: Option<Reason> = known_value(answer, REASON_HEADER);
        let outcome = outcome.map_or(NOT_STATED, OutcomeKind::as_str);
        let reason = reason.map_or_else(|| NOT_STATED.to_owned(), reason_name);
        self.record_end(outcome, &reason, ms);
    }

    fn record_end(&self, outcome: &str, reason: &str, ms: u64) {
        self.requests.with_label_values(&[outcome, reason]).inc();
        self.durations
            .with_label_values(&[outcome])
            .observe(ms as f64 / MS_PER_S);
    }

    /// Records the time from a prompt to the first chunk of its answer.
    pub fn record_first_token(&self, ms: u64) {
        self.first_tokens.observe(ms as f64 / MS_PER_S);
    }

    /// Adds to the number of requests in flight; negative for requests that ended.
    pub fn add_in_flight(&self, requests: i64) {
        self.in_flight.add(requests);
    }

    /// Adds to the number of callers' open connections; negative for closed ones.
    pub fn add_connections(&self, connections: i64) {
        self.connections.add(connections);
    }

    /// Counts a chunk or answer that didn't belong to its attempt or was out of order.
    pub fn record_dropped_chunk(&self) {
        self.dropped_chunks.inc();
    }

    /// Returns the chunks and answers dropped so far.
    pub fn dropped_chunks(&self) -> u64 {
        self.dropped_chunks.get()
    }

    /// Counts a decision that wasn't logged because the queue was full.
    pub fn record_dropped_log_line(&self) {
        self.dropped_log_lines.inc();
    }

    /// Sets the number of open links to peers.
    pub fn set_peer_links(&self, links: usize) {
        self.peer_links
            .set(i64::try_from(links).unwrap_or(i64::MAX));
    }

    /// Counts a link that was refused in the handshake.
    pub fn record_refused_link(&self) {
        self.refused_links.inc();
    }

    /// Returns the number of links refused in the handshake so far.
    pub fn refused_links(&self) -> u64 {
        self.refused_links.get()
    }

    /// Counts a read of the platform by its kind and result.
    pub fn record_platform_read(&self, read: &str, result: &str) {
        self.platform_reads.with_label_values(&[read, result]).inc();
    }

    /// Counts an event of the control thread and the time spent on it, in µs.
    pub fn record_control_time(&self, us: u64) {
        self.control_seconds.inc_by(us as f64 / US_PER_S);
        self.control_events.inc();
    }
}

/// Parses a header whose values are a closed set. Any other value that another process sends must
/// not become a label: the number of label values would be unbounded.
fn known_value<T: DeserializeOwned>(answer: &Response, header: &str) -> Option<T> {
    let text = answer.header(header)?.last().as_str();
    serde_json::from_value(text.into()).ok()
}

fn seconds(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(DURATION_BUCKETS_S.to_vec())
}
