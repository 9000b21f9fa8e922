//! Command-line tool of whinlatch: sends requests, shows the reports of daemons and checks files.

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
