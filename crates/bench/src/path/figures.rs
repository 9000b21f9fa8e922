use {
    super::process_usage::Resources,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{collections::BTreeMap, time::Duration},
};

/// Median and tail of a duration.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Percentiles {
    /// Median, in µs.
    pub p50_us: u64,
    /// 99th percentile, in µs.
    pub p99_us: u64,
}

/// Maximum duration that is recorded, in µs: one minute. Longer ones count as this.
const MAX_US: u64 = 60_000_000;
/// Significant digits of recorded durations.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histogram of durations. Its bounds are fixed, since a saturating record in an auto-resizing histogram
/// would clamp values to its small initial bound.
#[derive(Debug)]
pub struct Durations(Histogram<u64>);

impl Default for Durations {
    fn default() -> Self {
        Self(
            Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are in order"),
        )
    }
}

impl Durations {
    /// Records a duration.
    pub fn add(&mut self, duration: Duration) {
        self.0.saturating_record(duration.as_micros() as u64);
    }

    /// Adds the durations of another histogram.
    pub fn merge(&mut self, other: &Self) {
        self.0.add(&other.0).expect("both have the same bounds");
    }

    /// Returns median and 99th percentile.
    pub fn percentiles(&self) -> Percentiles {
        Percentiles {
            p50_us: self.0.value_at_quantile(0.5),
            p99_us: self.0.value_at_quantile(0.99),
        }
    }
}

/// Comparison of a duration directly at the engine and through the daemon.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Comparison {
    /// Requests sent to the engine.
    pub direct: Percentiles,
    /// Requests sent through the daemon.
    pub daemon: Percentiles,
    /// Difference of the medians, in µs; positive if the daemon takes longer.
    pub added_p50_us: i64,
    /// Difference of the 99th percentiles, in µs; positive if the daemon takes longer.
    pub added_p99_us: i64,
    /// Median through the daemon divided by that at the engine.
    pub ratio_p50: f64,
    /// 99th percentile through the daemon divided by that at the engine.
    pub ratio_p99: f64,
}

impl Comparison {
    /// Compares the percentiles of two histograms.
    pub fn new(direct: &Durations, daemon: &Durations) -> Self {
        let (direct, daemon) = (direct.percentiles(), daemon.percentiles());
        let added = |with: u64, without: u64| with.cast_signed() - without.cast_signed();
        let ratio = |with: u64, without: u64| with as f64 / without.max(1) as f64;
        Self {
            direct,
            daemon,
            added_p50_us: added(daemon.p50_us, direct.p50_us),
            added_p99_us: added(daemon.p99_us, direct.p99_us),
            ratio_p50: ratio(daemon.p50_us, direct.p50_us),
            ratio_p99: ratio(daemon.p99_us, direct.p99_us),
        }
    }
}

/// Latency that the daemon adds to a short streamed request, with one request in flight.
#[derive(Debug, Clone, Serialize)]
pub struct AddedLatency {
    /// Requests sent to the engine, and as many through the daemon.
    pub requests: u32,
    /// Time to the first chunk of the answer.
    pub first_chunk: Comparison,
    /// Time to the end of the answer.
    pub whole: Comparison,
}

/// Throughput of a daemon in a closed loop.
#[derive(Debug, Clone, Serialize)]
pub struct Throughput {
    /// Requests sent.
    pub requests: u32,
    /// Requests in flight at the same time.
    pub concurrency: u32,
    /// Throughput, per second. All processes share the machine.
    pub requests_per_s: f64,
    /// CPU time of the daemon per request, in µs.
    pub cpu_us_per_request: f64,
    /// Requests per second of the daemon's CPU time.
    pub requests_per_core_s: f64,
    /// CPU time per request, in µs, by name of the daemon's threads.
    pub cpu_us_by_thread: BTreeMap<String, f64>,
    /// Time to the end of the answer.
    pub whole: Percentiles,
}

/// Resources of a daemon with open streams.
#[derive(Debug, Clone, Serialize)]
pub struct Streams {
    /// Streams requested with `--streams`.
    pub asked: u32,
    /// Streams opened; fewer than requested if the limit of file descriptors is too low.
    pub opened: u32,
    /// Resources after the start, before any request.
    pub fresh: Resources,
    /// Resources before the streams, after the requests of the other measurements.
    pub before: Resources,
    /// Resources with all streams open, each with at least one chunk of its answer.
    pub open: Resources,
    /// Resources after the callers have disconnected.
    pub after: Resources,
    /// Growth of resident memory per stream, in bytes.
    pub bytes_per_stream: f64,
    /// CPU usage while the streams are open, in percent of a core. Each stream gets a chunk per second.
    pub cpu_percent: f64,
}

/// Resources of an idle daemon with peers.
#[derive(Debug, Clone, Serialize)]
pub struct Idle {
    /// Number of peers.
    pub peers: u32,
    /// Length of the measurement, in ms.
    pub measured_ms: u64,
    /// CPU usage, in percent of a core.
    pub cpu_percent: f64,
    /// CPU usage by name of the daemon's threads, in percent of a core.
    pub cpu_percent_by_thread: BTreeMap<String, f64>,
    /// Memory, file descriptors and threads at the end.
    pub held: Resources,
}

/// Results of all measurements.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Latency added to a request.
    pub added: AddedLatency,
    /// Throughput in a closed loop.
    pub rate: Throughput,
    /// Resources with open streams.
    pub streams: Streams,
    /// Resources while idle.
    pub idle: Idle,
}

/// Returns the CPU time between two readings, in ns, by thread name.
pub fn cpu_used_ns(
    before: &BTreeMap<String, u64>,
    after: &BTreeMap<String, u64>,
) -> BTreeMap<String, u64> {
    let used = |(name, after): (&String, &u64)| {
        let before = before.get(name).copied().unwrap_or(0);
        (name.clone(), after.saturating_sub(before))
    };
    after.iter().map(used).collect()
}
