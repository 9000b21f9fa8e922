//! Entry point of the daemon, which forwards callers' requests to targets.

use std::process::ExitCode;

fn main() -> ExitCode {
    whinlatch_daemon::app::run()
}
