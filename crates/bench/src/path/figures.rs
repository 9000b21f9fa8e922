use {
    super::process_use::Held,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{collections::BTreeMap, time::Duration},
};

/// Median and tail of a time, in µs.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Percentiles {
    /// Half of the times are at most this.
    pub p50_us: u64,
    /// 99 of 100 times are at most this.
    pub p99_us: u64,
}

/// Longest time that is told from longer ones, in µs: a minute.
const MAX_US: u64 = 60_000_000;
/// Digits of a time that are kept.
const DIGITS: u8 = 3;

/// Times of many requests. The bounds are stated, since a histogram that grows by itself takes a
/// clamped time for one at its first, tiny bound.
#[derive(Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, MAX_US, DIGITS).expect("the bounds are in order"))
    }
}

impl Times {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    /// Adds the times of another.
    pub fn add_all(&mut self, others: &Self) {
        self.0.add(&others.0).expect("both have the same bounds");
    }

    /// The percentiles.
    pub fn percentiles(&self) -> Percentiles {
        Percentiles {
            p50_us: self.0.value_at_quantile(0.5),
            p99_us: self.0.value_at_quantile(0.99),
        }
    }
}

/// The same time asked directly and through the daemon.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Compared {
    /// Asked of the engine.
    pub direct: Percentiles,
    /// Asked of the daemon.
    pub daemon: Percentiles,
    /// Daemon less direct, in µs, at the median.
    pub added_p50_us: i64,
    /// Daemon less direct, in µs, at the tail.
    pub added_p99_us: i64,
    /// Daemon by direct at the median.
    pub ratio_p50: f64,
    /// Daemon by direct at the tail.
    pub ratio_p99: f64,
}

impl Compared {
    /// Compares the percentiles of both ways.
    pub fn new(direct: &Times, daemon: &Times) -> Self {
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

/// Time added by the daemon to a short streamed request, one in flight.
#[derive(Debug, Clone, Serialize)]
pub struct Added {
    /// Requests asked each way.
    pub requests: u32,
    /// Time to the first piece of the answer.
    pub first_chunk: Compared,
    /// Time to the end of the answer.
    pub whole: Compared,
}

/// What a daemon serves in a closed loop.
#[derive(Debug, Clone, Serialize)]
pub struct Rate {
    /// Requests asked.
    pub requests: u32,
    /// Requests in flight at once.
    pub concurrency: u32,
    /// Rate reached, all processes sharing the machine.
    pub requests_per_s: f64,
    /// Processor time of the daemon for a request, in µs.
    pub cpu_us_per_request: f64,
    /// Requests for each second of a core's time.
    pub requests_per_core_s: f64,
    /// Processor time for a request in µs, by the name of the daemon's threads.
    pub cpu_us_by_thread: BTreeMap<String, f64>,
    /// Time to the end of the answer.
    pub whole: Percentiles,
}

/// What a daemon holds with open streams.
#[derive(Debug, Clone, Serialize)]
pub struct Streams {
    /// Streams asked for.
    pub asked: u32,
    /// Streams opened; fewer than asked for where the descriptors don't suffice.
    pub opened: u32,
    /// The daemon after its start, before any request.
    pub fresh: Held,
    /// Before the streams, after the requests of the other measurements.
    pub before: Held,
    /// With all streams open, each with at least one piece of its answer.
    pub open: Held,
    /// When the callers have gone away.
    pub after: Held,
    /// Resident memory for each stream, in bytes.
    pub bytes_per_stream: f64,
    /// Share of one core while the streams are open, in percent; each has a piece a second.
    pub cpu_percent: f64,
}

/// What an idle daemon with peers uses.
#[derive(Debug, Clone, Serialize)]
pub struct Idle {
    /// Its peers.
    pub peers: u32,
    /// Time measured, in ms.
    pub measured_ms: u64,
    /// Share of one core, in percent.
    pub cpu_percent: f64,
    /// The same by the name of the daemon's threads.
    pub cpu_percent_by_thread: BTreeMap<String, f64>,
    /// What it holds.
    pub held: Held,
}

/// All figures of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Time added to a request.
    pub added: Added,
    /// Requests in a closed loop.
    pub rate: Rate,
    /// Open streams.
    pub streams: Streams,
    /// An idle daemon.
    pub idle: Idle,
}

/// What was used between two readings, by the name of the threads.
pub fn used_ns(
    before: &BTreeMap<String, u64>,
    after: &BTreeMap<String, u64>,
) -> BTreeMap<String, u64> {
    let used = |(name, after): (&String, &u64)| {
        let before = before.get(name).copied().unwrap_or(0);
        (name.clone(), after.saturating_sub(before))
    };
    after.iter().map(used).collect()
}
