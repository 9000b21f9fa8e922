use {
    bpaf::Bpaf,
    std::{num::ParseIntError, ops::RangeInclusive, path::PathBuf},
};

/// Runs processes under faults drawn by seeds, and reports the promises that a run broke.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
pub struct Options {
    /// Seeds: one, or a range such as 1-50; repeatable.
    #[bpaf(long, argument::<String>("SEEDS"), parse(|text| parse_seeds(&text)), some("give --seeds"))]
    pub seeds: Vec<RangeInclusive<u64>>,
    /// Time during which each run injects faults, in s.
    #[bpaf(long, argument("S"), fallback(12), display_fallback)]
    pub seconds: u64,
    /// Troubles that begin per second; each lasts up to three seconds, and they overlap.
    #[bpaf(long, argument("N"), fallback(1.5), display_fallback)]
    pub troubles_per_s: f64,
    /// Targets per second that restart under the same name, or whose entries another client of the store
    /// overwrites. The other troubles of a seed stay the same.
    #[bpaf(long, argument("N"), fallback(0.0), display_fallback)]
    pub restarts_per_s: f64,
    /// Targets per second that announce a limit, announce in their responses that they leave, or refuse
    /// requests for a while. The other troubles of a seed stay the same.
    #[bpaf(long, argument("N"), fallback(0.0), display_fallback)]
    pub notices_per_s: f64,
    /// Series of stops, and silences of targets, that begin per second; they overlap. Half of the callers then keep to
    /// their instance until its process is gone, and some streams take seconds. The other troubles of a seed stay
    /// the same, but targets that leave stay until such streams are over.
    #[bpaf(long, argument("N"), fallback(0.0), display_fallback)]
    pub shutdowns_per_s: f64,
    /// Number of instances.
    #[bpaf(long, argument("N"), fallback(5), display_fallback)]
    pub instances: usize,
    /// Number of targets of each service.
    #[bpaf(long, argument("N"), fallback(4), display_fallback)]
    pub targets: usize,
    /// Number of callers.
    #[bpaf(long, argument("N"), fallback(12), display_fallback)]
    pub callers: usize,
    /// Also check times: responses on time, limits of targets kept. Not for a busy machine.
    #[bpaf(long)]
    pub timed: bool,
    /// Folder for the logs of runs with findings.
    #[bpaf(
        long,
        argument("FOLDER"),
        fallback(PathBuf::from("target/soak")),
        debug_fallback
    )]
    pub keep: PathBuf,
}

/// Parses a seed such as `7`, or an inclusive range such as `1-50`.
///
/// # Errors
/// A bound isn't a whole number.
pub fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, ParseIntError> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    Ok(first.parse()?..=last.parse()?)
}
