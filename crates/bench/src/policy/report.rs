use {
    super::figures::{BandFigures, Figures},
    serde::Serialize,
};

/// What is printed: the figures of each policy, and ours over the best of the others.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the mix.
    pub mix: String,
    /// Daemons.
    pub daemons: usize,
    /// Targets.
    pub targets: usize,
    /// Load.
    pub load: f64,
    /// Seed.
    pub seed: u64,
    /// Figures of each policy.
    pub policies: Vec<Figures>,
    /// Ratios of whinlatch's figures to the best of the others, if both were run.
    pub against_best: Option<Against>,
}

/// Ratios of whinlatch's figures to the best baseline's of the same run, each for itself.
#[derive(Debug, Serialize)]
pub struct Against {
    /// p99 TTFT of long prompts; under 1 is better.
    pub long_ttft_p99: f64,
    /// Long prompts completed in time; over 1 is better. A policy that refuses the longest has a
    /// low TTFT and shows here.
    pub long_completed: f64,
    /// Slowdown of the short bands; under 1 is better.
    pub short_slowdown: f64,
    /// p99 TTFT of each band; under 1 is better.
    pub band_ttft_p99: Vec<f64>,
    /// Goodput; over 1 is better.
    pub goodput: f64,
}

/// Name of the policy that others are compared with.
pub const OURS: &str = "whinlatch";

/// Compares whinlatch with the best of the other policies of the run.
pub fn against_best(policies: &[Figures]) -> Option<Against> {
    let ours = policies.iter().find(|figures| figures.policy == OURS)?;
    let others: Vec<&Figures> = policies.iter().filter(|f| f.policy != OURS).collect();
    if others.is_empty() {
        return None;
    }
    let least = |value: &dyn Fn(&Figures) -> f64| {
        let best = others
            .iter()
            .map(|f| value(f))
            .fold(f64::INFINITY, f64::min);
        value(ours) / best
    };
    let most = |value: &dyn Fn(&Figures) -> f64| {
        value(ours) / others.iter().map(|f| value(f)).fold(0.0, f64::max)
    };
    Some(Against {
        long_ttft_p99: least(&|f| f.long.ttft.p99),
        long_completed: most(&|f| f.long.completed as f64),
        short_slowdown: least(&|f| f.short_slowdown),
        band_ttft_p99: (0..ours.bands.len())
            .map(|band| least(&|f| f.bands[band].ttft.p99))
            .collect(),
        goodput: most(&|f| f.goodput),
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
    if let Some(against) = &report.against_best {
        print_against(against);
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

fn print_against(against: &Against) {
    let bands: Vec<String> = against
        .band_ttft_p99
        .iter()
        .map(|ratio| format!("{ratio:.3}"))
        .collect();
    println!(
        "\nwhinlatch over the best baseline: long TTFT p99 {:.3}, completed {:.3}, short slowdown {:.3}, \
         TTFT p99 by band {}, goodput {:.3}",
        against.long_ttft_p99,
        against.long_completed,
        against.short_slowdown,
        bands.join(" "),
        against.goodput
    );
}
