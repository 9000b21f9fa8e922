use {
    super::measure::Part,
    bpaf::{Parser, construct, long},
    std::path::PathBuf,
};

/// Options of the measurement.
#[derive(Debug)]
pub struct CapacityArgs {
    /// Print JSON.
    pub json: bool,
    /// Measure only what is the same in each run: bytes, frames, reads and rounds.
    pub exact: bool,
    /// Measure only this part.
    pub only: Option<Part>,
    /// Folder for a picture of each slope.
    pub plot: Option<PathBuf>,
}

const ONLY_HELP: &str = "Measure one part: memory, peers, targets, records, changes, \
    faults, streams, requests, start, apart or repair";

/// Reads the options.
pub fn capacity_args() -> impl Parser<CapacityArgs> {
    let json = long("json").help("Print JSON").switch();
    let exact = long("exact")
        .help("Measure only bytes, frames, reads and rounds, at small sizes")
        .switch();
    let only = long("only")
        .help(ONLY_HELP)
        .argument::<Part>("PART")
        .optional();
    let plot = long("plot")
        .help("Write a picture of each slope into this folder")
        .argument::<PathBuf>("DIR")
        .optional();
    construct!(CapacityArgs {
        json,
        exact,
        only,
        plot
    })
}
