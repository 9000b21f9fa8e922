//! The daemon that callers ask and that passes their requests on to targets.

use std::process::ExitCode;

fn main() -> ExitCode {
    whinlatch_daemon::app::run()
}
