//! Decisions under load: a mix of requests against the decisions of N daemons.

use {
    bpaf::{Parser, long},
    std::process::ExitCode,
};

/// Options of the measurement.
#[derive(Debug)]
pub struct PolicyArgs {
    json: bool,
}

/// Reads the options.
pub fn policy_args() -> impl Parser<PolicyArgs> {
    long("json")
        .help("Print JSON")
        .switch()
        .map(|json| PolicyArgs { json })
}

/// Runs the measurement.
pub fn run(args: &PolicyArgs) -> ExitCode {
    eprintln!("nothing is measured yet (json: {})", args.json);
    ExitCode::FAILURE
}
