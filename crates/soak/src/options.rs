use {
    bpaf::Bpaf,
    std::{num::ParseIntError, ops::RangeInclusive, path::PathBuf},
};

/// Plays seeded runs of processes with faults, and tells the promises that weren't kept.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
pub struct Options {
    /// Seeds: one, or a range such as 1-50; may be given again.
    #[bpaf(long, argument::<String>("SEEDS"), parse(|text| parse_seeds(&text)), some("give --seeds"))]
    pub seeds: Vec<RangeInclusive<u64>>,
    /// Time for which faults are injected in each run, in s.
    #[bpaf(long, argument("S"), fallback(12), display_fallback)]
    pub seconds: u64,
    /// Troubles that begin in a second; they last up to three seconds each and overlap.
    #[bpaf(long, argument("N"), fallback(1.5), display_fallback)]
    pub troubles_per_s: f64,
    /// Targets that start again under their names, or whose entries somebody else overwrites, in a
    /// second; beside the other troubles of a seed, which stay as they are.
    #[bpaf(long, argument("N"), fallback(0.0), display_fallback)]
    pub restarts_per_s: f64,
    /// Targets that name a limit, say in their answers that they leave, or want nothing for a while, in a second;
    /// beside the other troubles of a seed, which stay as they are.
    #[bpaf(long, argument("N"), fallback(0.0), display_fallback)]
    pub notices_per_s: f64,
    /// Number of instances.
    #[bpaf(long, argument("N"), fallback(5), display_fallback)]
    pub instances: usize,
    /// Number of targets of each service.
    #[bpaf(long, argument("N"), fallback(4), display_fallback)]
    pub targets: usize,
    /// Number of callers.
    #[bpaf(long, argument("N"), fallback(12), display_fallback)]
    pub callers: usize,
    /// Judge by the clock, too: answers in time, limits of targets kept. Not for a
    /// machine that is busy.
    #[bpaf(long)]
    pub timed: bool,
    /// Folder that keeps the logs of runs with findings.
    #[bpaf(
        long,
        argument("FOLDER"),
        fallback(PathBuf::from("target/soak")),
        debug_fallback
    )]
    pub keep: PathBuf,
}

/// Reads `7` or `1-50`.
///
/// # Errors
/// It is no number.
pub fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, ParseIntError> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    Ok(first.parse()?..=last.parse()?)
}
