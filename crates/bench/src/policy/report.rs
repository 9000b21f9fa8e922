use {
    super::figures::{BandFigures, Figures},
    serde::Serialize,
};

/// Output of the `policy` measurement.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the mix.
    pub mix: String,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of targets.
    pub targets: usize,
    /// Offered work as a fraction of the capacity of all engines.
    pub load: f64,
    /// Seed of all random generators.
    pub seed: u64,
    /// Measurements of each policy that was run.
    pub policies: Vec<Figures>,
    /// Comparison of whinlatch with the baselines; absent unless both were run.
    pub against_best: Option<BaselineRatios>,
}

/// Ratios of whinlatch's measurements to those of the best baseline, chosen for each measurement on its
/// own.
#[derive(Debug, Serialize)]
pub struct BaselineRatios {
    /// p99 TTFT of long prompts; below 1 is better.
    pub long_ttft_p99: f64,
    /// Long prompts completed before their deadline; above 1 is better. Exposes a policy whose TTFT is low
    /// only because it refuses the longest prompts.
    pub long_completed: f64,
    /// Slowdown of the short bands; below 1 is better.
    pub short_slowdown: f64,
    /// p99 TTFT of each band; below 1 is better.
    pub band_ttft_p99: Vec<f64>,
    /// Goodput; above 1 is better.
    pub goodput: f64,
}

/// Name of the policy that is compared with the baselines.
pub const WHINLATCH: &str = "whinlatch";

/// Compares whinlatch with the best baseline of the run. Returns `None` unless both are in `policies`.
pub fn against_best(policies: &[Figures]) -> Option<BaselineRatios> {
    let whinlatch = policies
        .iter()
        .find(|figures| figures.policy == WHINLATCH)?;
    let baselines: Vec<&Figures> = policies.iter().filter(|f| f.policy != WHINLATCH).collect();
    if baselines.is_empty() {
        return None;
    }
    let over_lowest = |value: &dyn Fn(&Figures) -> f64| {
        let best = baselines
            .iter()
            .map(|f| value(f))
            .fold(f64::INFINITY, f64::min);
        value(whinlatch) / best
    };
    let over_highest = |value: &dyn Fn(&Figures) -> f64| {
        value(whinlatch) / baselines.iter().map(|f| value(f)).fold(0.0, f64::max)
    };
    Some(BaselineRatios {
        long_ttft_p99: over_lowest(&|f| f.long.ttft.p99),
        long_completed: over_highest(&|f| f.long.completed as f64),
        short_slowdown: over_lowest(&|f| f.short_slowdown),
        band_ttft_p99: (0..whinlatch.bands.len())
            .map(|band| over_lowest(&|f| f.bands[band].ttft.p99))
            .collect(),
        goodput: over_highest(&|f| f.goodput),
    })
}

/// Prints a report as text.
pub fn print(report: &Report) {
    println!(
        "mix {}, {} daemons, {} targets, load {}, seed {}",
        report.mix, report.daemons, report.targets, report.load, report.seed
    );
    for figures in &report.policies {
        print_policy(figures);
    }
    if let Some(ratios) = &report.against_best {
        print_against(ratios);
    }
}

fn print_policy(figures: &Figures) {
    println!("\n{}", figures.policy);
    println!(
        "  {:<16} {:>8} {:>9} {:>7} {:>5} {:>6} | {:>9} {:>9} {:>9} ms | {:>7} {:>7} {:>7} x idle",
        "band",
        "requests",
        "completed",
        "not_run",
        "late",
        "failed",
        "p50",
        "p95",
        "p99",
        "p50",
        "p95",
        "p99"
    );
    for band in figures.bands.iter().chain([&figures.long]) {
        print_band(band);
    }
    println!(
        "  short slowdown {:.3}, goodput {:.3} of capacity ({:.2}/s), share error {:.4}",
        figures.short_slowdown, figures.goodput, figures.goodput_per_s, figures.share_error
    );
}

fn print_band(band: &BandFigures) {
    println!(
        "  {:<16} {:>8} {:>9} {:>7} {:>5} {:>6} | {:>9.0} {:>9.0} {:>9.0}    | {:>7.2} {:>7.2} {:>7.2}",
        band.band,
        band.requests,
        band.completed,
        band.not_run,
        band.late,
        band.failed,
        band.ttft.p50,
        band.ttft.p95,
        band.ttft.p99,
        band.ratio.p50,
        band.ratio.p95,
        band.ratio.p99,
    );
}

fn print_against(ratios: &BaselineRatios) {
    let bands: Vec<String> = ratios
        .band_ttft_p99
        .iter()
        .map(|ratio| format!("{ratio:.3}"))
        .collect();
    println!(
        "\nwhinlatch over the best baseline: long TTFT p99 {:.3}, completed {:.3}, short slowdown {:.3}, \
         TTFT p99 by band {}, goodput {:.3}",
        ratios.long_ttft_p99,
        ratios.long_completed,
        ratios.short_slowdown,
        bands.join(" "),
        ratios.goodput
    );
}
