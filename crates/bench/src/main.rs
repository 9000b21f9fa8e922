//! Benchmarks of whinlatch: decisions under load and the cost of the control plane at scale, both in
//! virtual time, and the daemon as a process.

mod capacity;
mod path;
mod policy;

use {
    bpaf::{OptionParser, Parser, construct},
    std::process::ExitCode,
};

/// The command to run, with its options.
#[derive(Debug)]
enum Command {
    Policy(policy::PolicyArgs),
    Capacity(capacity::CapacityArgs),
    Path(path::PathArgs),
}

fn parser() -> OptionParser<Command> {
    let policy = policy::policy_args()
        .map(Command::Policy)
        .to_options()
        .descr(
            "Simulates a mix of requests against the decisions of N daemons and compares policies.",
        )
        .command("policy");
    let capacity = capacity::capacity_args()
        .map(Command::Capacity)
        .to_options()
        .descr("Measures the cost of control per peer, target, record and change.")
        .command("capacity");
    let path = path::path_args()
        .map(Command::Path)
        .to_options()
        .descr("Measures the daemon as a process: added latency, throughput, memory, CPU usage when idle.")
        .command("path");
    construct!([policy, capacity, path])
        .to_options()
        .descr("Measurements of whinlatch.")
}

fn main() -> ExitCode {
    match parser().run() {
        Command::Policy(args) => policy::run(&args),
        Command::Capacity(args) => capacity::run(&args),
        Command::Path(args) => path::run(&args),
    }
}
