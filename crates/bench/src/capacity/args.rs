use {
    super::measure::Measurement,
    bpaf::{Parser, construct, long},
    std::path::PathBuf,
};

/// Options of the `capacity` command.
#[derive(Debug)]
pub struct CapacityArgs {
    /// Whether to print JSON instead of text.
    pub json: bool,
    /// Whether to measure only what is the same in each run: bytes, frames, reads and rounds.
    pub exact: bool,
    /// The only measurement to run; all if absent.
    pub only: Option<Measurement>,
    /// Directory for a chart of each slope; none is drawn if absent.
    pub plot: Option<PathBuf>,
}

const ONLY_HELP: &str = "Run one measurement: memory, peers, targets, records, changes, \
    faults, streams, requests, start, apart or repair";

/// Returns the parser of the command's options.
pub fn capacity_args() -> impl Parser<CapacityArgs> {
    let json = long("json").help("Print JSON").switch();
    let exact = long("exact")
        .help("Measure only bytes, frames, reads and rounds, at small sizes")
        .switch();
    let only = long("only")
        .help(ONLY_HELP)
        .argument::<Measurement>("PART")
        .optional();
    let plot = long("plot")
        .help("Write a chart of each slope into this directory")
        .argument::<PathBuf>("DIR")
        .optional();
    construct!(CapacityArgs {
        json,
        exact,
        only,
        plot
    })
}
