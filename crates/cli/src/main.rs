//! The command-line tool of whinlatch: asks, reads what daemons report and checks files.

mod ask;
mod check;
mod cli;
mod entries;
mod errors;
mod http;
mod reports;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
