//! Control at size: what each peer, target, record and change costs.

use {
    bpaf::{Parser, long},
    std::process::ExitCode,
};

/// Options of the measurement.
#[derive(Debug)]
pub struct CapacityArgs {
    json: bool,
}

/// Reads the options.
pub fn capacity_args() -> impl Parser<CapacityArgs> {
    long("json")
        .help("Print JSON")
        .switch()
        .map(|json| CapacityArgs { json })
}

/// Runs the measurement.
pub fn run(args: &CapacityArgs) -> ExitCode {
    eprintln!("nothing is measured yet (json: {})", args.json);
    ExitCode::FAILURE
}
