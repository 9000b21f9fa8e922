use {
    super::{
        cost::{idle_us, work_us},
        fleet_records::providers_of,
        mix::{Band, Mix},
        setup::{Setup, Trial},
    },
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    whinlatch_wire::caller::{OutcomeKind, Reason},
};

const US_PER_MS: f64 = 1_000.0;

/// Figures of one policy in one run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Figures {
    /// Name of the policy.
    pub policy: String,
    /// One for each band of the mix.
    pub bands: Vec<BandFigures>,
    /// Prompts of at least the mix's `long_prompt_tokens`, whichever band they are of.
    pub long: BandFigures,
    /// p95 TTFT of the short bands with the others over that without.
    pub short_slowdown: f64,
    /// Work of requests completed in time over what all engines could do while requests arrived.
    pub goodput: f64,
    /// Requests completed in time a second.
    pub goodput_per_s: f64,
    /// Largest distance of a provider's part of the requests from its share.
    pub share_error: f64,
}

/// Figures of one band.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BandFigures {
    /// Name of the band.
    pub band: String,
    /// Requests that arrived.
    pub requests: u64,
    /// Those completed in time.
    pub completed: u64,
    /// Those that ended as `not_run`.
    pub not_run: u64,
    /// Those that were admitted and had no whole answer at their deadline.
    pub late: u64,
    /// Those that ended as `unknown` before their deadline.
    pub failed: u64,
    /// Quantiles of the time to first token.
    pub ttft: Quantiles,
    /// The same of its ratio to the time of the same prompt on an idle fleet.
    pub ratio: Quantiles,
}

/// Quantiles, in ms or as a ratio.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// Half are at most this.
    pub p50: f64,
    /// 95 of 100 are at most this.
    pub p95: f64,
    /// 99 of 100 are at most this.
    pub p99: f64,
}

/// Sums up a run and the same run without any but the short bands.
pub fn figures(name: &str, setup: &Setup<'_>, trials: &[Trial], short: &[Trial]) -> Figures {
    let mix = setup.mix;
    let of_band = |index: usize| trials.iter().filter(move |t| t.arrival.band == index);
    let long = trials
        .iter()
        .filter(|trial| trial.arrival.prompt_tokens >= mix.long_prompt_tokens);
    let in_time: Vec<&Trial> = trials.iter().filter(|trial| trial.in_time()).collect();
    let work: f64 = in_time
        .iter()
        .map(|trial| work_us(trial.arrival.prompt_tokens, trial.arrival.answer_tokens))
        .sum();
    let capacity_us = (mix.duration_s * 1_000_000 * setup.targets as u64) as f64;
    Figures {
        policy: name.to_owned(),
        bands: (0..mix.bands.len())
            .map(|index| BandFigures::of(&mix.bands[index].name, of_band(index)))
            .collect(),
        long: BandFigures::of("long", long),
        short_slowdown: short_p95(mix, trials) / short_p95(&mix.short_only(), short),
        goodput: work / capacity_us,
        goodput_per_s: in_time.len() as f64 / mix.duration_s as f64,
        share_error: share_error(mix, setup.targets, trials),
    }
}

fn short_p95(mix: &Mix, trials: &[Trial]) -> f64 {
    let is_short = |band: &Band| band.short;
    let times = trials
        .iter()
        .filter(|trial| is_short(&mix.bands[trial.arrival.band]))
        .filter_map(Trial::ttft_us);
    Quantiles::of(times).p95
}

fn share_error(mix: &Mix, targets: usize, trials: &[Trial]) -> f64 {
    let provider_of = providers_of(mix, targets);
    let mut counts = vec![0_u64; mix.providers.len()];
    for target in trials.iter().filter_map(|trial| trial.first_target) {
        counts[provider_of[target]] += 1;
    }
    let total: u64 = counts.iter().sum();
    counts
        .iter()
        .zip(&mix.providers)
        .map(|(count, provider)| {
            let part = *count as f64 / total.max(1) as f64;
            (part - f64::from(provider.share_per_mille) / 1_000.0).abs()
        })
        .fold(0.0, f64::max)
}

impl BandFigures {
    fn of<'a>(name: &str, trials: impl Iterator<Item = &'a Trial>) -> Self {
        let trials: Vec<&Trial> = trials.collect();
        let count =
            |fits: fn(&Trial) -> bool| trials.iter().filter(|trial| fits(trial)).count() as u64;
        let ttft = Quantiles::of(trials.iter().filter_map(|trial| trial.ttft_us()));
        let ratio = Quantiles::of(trials.iter().filter_map(|trial| trial.ratio_ppm()));
        Self {
            band: name.to_owned(),
            requests: trials.len() as u64,
            completed: count(Trial::in_time),
            not_run: count(|trial| trial.is(OutcomeKind::NotRun) && !trial.late()),
            late: count(Trial::late),
            failed: count(|trial| trial.is(OutcomeKind::Unknown) && !trial.late()),
            ttft: ttft.over(US_PER_MS),
            ratio: ratio.over(US_PER_MS * US_PER_MS),
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

    fn over(self, unit: f64) -> Self {
        Self {
            p50: self.p50 / unit,
            p95: self.p95 / unit,
            p99: self.p99 / unit,
        }
    }
}

impl Trial {
    /// Time to first token, in us. A request that never got one counts with the time until it ended
    /// if it was admitted, so that what is dropped doesn't make a policy look fast.
    fn ttft_us(&self) -> Option<u64> {
        let end_us = || {
            self.late()
                .then(|| self.end.as_ref().map(|(at_us, _)| *at_us))
        };
        let at_us = self.first_us.or_else(|| end_us().flatten())?;
        Some(at_us - self.arrival.at_us)
    }

    fn ratio_ppm(&self) -> Option<u64> {
        let idle_us = idle_us(self.arrival.prompt_tokens, self.arrival.answer_tokens);
        self.ttft_us()
            .map(|us| (us as f64 * US_PER_MS * US_PER_MS / idle_us) as u64)
    }

    fn is(&self, kind: OutcomeKind) -> bool {
        self.end
            .as_ref()
            .is_some_and(|(_, outcome)| outcome.outcome == kind)
    }

    fn past_deadline(&self) -> bool {
        let deadline_us = self.arrival.at_us + self.arrival.deadline_ms * 1_000;
        self.end
            .as_ref()
            .is_none_or(|(at_us, _)| *at_us > deadline_us)
    }

    fn in_time(&self) -> bool {
        self.is(OutcomeKind::Completed) && !self.past_deadline()
    }

    /// Whether it was let in, waited, and had no whole answer at its deadline.
    fn late(&self) -> bool {
        let reached = self
            .end
            .as_ref()
            .is_some_and(|(_, outcome)| outcome.reason == Reason::DeadlineReached);
        reached || self.past_deadline()
    }
}
