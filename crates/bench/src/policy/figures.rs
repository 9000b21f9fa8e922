use {
    super::{
        cost::{idle_ttft_us, work_us},
        fleet_records::providers_of,
        mix::{Band, Mix},
        setup::{RequestTrace, Setup},
    },
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    whinlatch_wire::caller::{OutcomeKind, Reason},
};

const US_PER_MS: f64 = 1_000.0;

/// Measurements of one policy in one run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Figures {
    /// Name of the policy.
    pub policy: String,
    /// Measurements of each band, in the order of the mix.
    pub bands: Vec<BandFigures>,
    /// Measurements of prompts of at least `long_prompt_tokens`, across bands.
    pub long: BandFigures,
    /// p95 TTFT of the short bands in the full mix divided by that without the other bands.
    pub short_slowdown: f64,
    /// Work of requests completed before their deadline as a fraction of the capacity of all engines
    /// during the arrivals.
    pub goodput: f64,
    /// Requests completed before their deadline, per second.
    pub goodput_per_s: f64,
    /// Largest absolute difference between a provider's fraction of the requests and its share.
    pub share_error: f64,
}

/// Measurements of one band.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BandFigures {
    /// Name of the band.
    pub band: String,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests completed before their deadline.
    pub completed: u64,
    /// Requests that ended as `not_run` and weren't late.
    pub not_run: u64,
    /// Requests that were admitted but had no complete answer at their deadline.
    pub late: u64,
    /// Requests that ended as `unknown` and weren't late.
    pub failed: u64,
    /// Time to first token, in ms.
    pub ttft: Quantiles,
    /// Time to first token divided by that of the same prompt on an idle fleet.
    pub ratio: Quantiles,
}

/// Quantiles, in ms or as a ratio.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Computes the measurements of a run. `short` are the traces of the same run with only the short bands.
pub fn figures(
    name: &str,
    setup: &Setup<'_>,
    traces: &[RequestTrace],
    short: &[RequestTrace],
) -> Figures {
    let mix = setup.mix;
    let of_band = |index: usize| traces.iter().filter(move |t| t.arrival.band == index);
    let long = traces
        .iter()
        .filter(|trace| trace.arrival.prompt_tokens >= mix.long_prompt_tokens);
    let completed: Vec<&RequestTrace> = traces
        .iter()
        .filter(|trace| trace.completed_in_time())
        .collect();
    let work: f64 = completed
        .iter()
        .map(|trace| work_us(trace.arrival.prompt_tokens, trace.arrival.answer_tokens))
        .sum();
    let capacity_us = (mix.duration_s * 1_000_000 * setup.targets as u64) as f64;
    Figures {
        policy: name.to_owned(),
        bands: (0..mix.bands.len())
            .map(|index| BandFigures::of(&mix.bands[index].name, of_band(index)))
            .collect(),
        long: BandFigures::of("long", long),
        short_slowdown: short_ttft_p95(mix, traces) / short_ttft_p95(&mix.short_only(), short),
        goodput: work / capacity_us,
        goodput_per_s: completed.len() as f64 / mix.duration_s as f64,
        share_error: share_error(mix, setup.targets, traces),
    }
}

fn short_ttft_p95(mix: &Mix, traces: &[RequestTrace]) -> f64 {
    let is_short = |band: &Band| band.short;
    let times = traces
        .iter()
        .filter(|trace| is_short(&mix.bands[trace.arrival.band]))
        .filter_map(RequestTrace::ttft_us);
    Quantiles::of(times).p95
}

/// Returns the largest difference between a provider's fraction of first attempts and its share.
fn share_error(mix: &Mix, targets: usize, traces: &[RequestTrace]) -> f64 {
    let provider_of = providers_of(mix, targets);
    let mut counts = vec![0_u64; mix.providers.len()];
    for target in traces.iter().filter_map(|trace| trace.first_target) {
        counts[provider_of[target]] += 1;
    }
    let total: u64 = counts.iter().sum();
    counts
        .iter()
        .zip(&mix.providers)
        .map(|(count, provider)| {
            let fraction = *count as f64 / total.max(1) as f64;
            (fraction - f64::from(provider.share_per_mille) / 1_000.0).abs()
        })
        .fold(0.0, f64::max)
}

impl BandFigures {
    fn of<'a>(name: &str, traces: impl Iterator<Item = &'a RequestTrace>) -> Self {
        let traces: Vec<&RequestTrace> = traces.collect();
        let count = |matches: fn(&RequestTrace) -> bool| {
            traces.iter().filter(|trace| matches(trace)).count() as u64
        };
        let ttft = Quantiles::of(traces.iter().filter_map(|trace| trace.ttft_us()));
        let ratio = Quantiles::of(traces.iter().filter_map(|trace| trace.ratio_ppm()));
        Self {
            band: name.to_owned(),
            requests: traces.len() as u64,
            completed: count(RequestTrace::completed_in_time),
            not_run: count(|trace| trace.has_outcome(OutcomeKind::NotRun) && !trace.is_late()),
            late: count(RequestTrace::is_late),
            failed: count(|trace| trace.has_outcome(OutcomeKind::Unknown) && !trace.is_late()),
            ttft: ttft.divided_by(US_PER_MS),
            ratio: ratio.divided_by(US_PER_MS * US_PER_MS),
        }
    }
}

impl Quantiles {
    fn of(values: impl Iterator<Item = u64>) -> Self {
        let mut histogram = Histogram::<u64>::new(3).expect("three digits are within bounds");
        for value in values {
            histogram
                .record(value)
                .expect("a histogram that resizes takes any value");
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64;
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }

    fn divided_by(self, divisor: f64) -> Self {
        Self {
            p50: self.p50 / divisor,
            p95: self.p95 / divisor,
            p99: self.p99 / divisor,
        }
    }
}

impl RequestTrace {
    /// Returns the time to first token, in µs. A late request without a token counts with the time until
    /// it ended, so that a policy doesn't look fast by dropping requests.
    fn ttft_us(&self) -> Option<u64> {
        let end_us = || {
            self.is_late()
                .then(|| self.end.as_ref().map(|(at_us, _)| *at_us))
        };
        let at_us = self.first_token_us.or_else(|| end_us().flatten())?;
        Some(at_us - self.arrival.at_us)
    }

    /// Returns the time to first token as a multiple of that on an idle fleet, in millionths.
    fn ratio_ppm(&self) -> Option<u64> {
        let idle_us = idle_ttft_us(self.arrival.prompt_tokens, self.arrival.answer_tokens);
        self.ttft_us()
            .map(|us| (us as f64 * US_PER_MS * US_PER_MS / idle_us) as u64)
    }

    fn has_outcome(&self, kind: OutcomeKind) -> bool {
        self.end
            .as_ref()
            .is_some_and(|(_, outcome)| outcome.outcome == kind)
    }

    fn ended_past_deadline(&self) -> bool {
        let deadline_us = self.arrival.at_us + self.arrival.deadline_ms * 1_000;
        self.end
            .as_ref()
            .is_none_or(|(at_us, _)| *at_us > deadline_us)
    }

    fn completed_in_time(&self) -> bool {
        self.has_outcome(OutcomeKind::Completed) && !self.ended_past_deadline()
    }

    /// Returns whether it was admitted but had no complete answer at its deadline.
    fn is_late(&self) -> bool {
        let deadline_reached = self
            .end
            .as_ref()
            .is_some_and(|(_, outcome)| outcome.reason == Reason::DeadlineReached);
        deadline_reached || self.ended_past_deadline()
    }
}
