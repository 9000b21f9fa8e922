//! Measurements of whinlatch in virtual time: decisions under load, and control at size.

mod capacity;
mod policy;

use {
    bpaf::{OptionParser, Parser, construct},
    std::process::ExitCode,
};

/// What to measure.
#[derive(Debug)]
enum Command {
    Policy(policy::PolicyArgs),
    Capacity(capacity::CapacityArgs),
}

fn parser() -> OptionParser<Command> {
    let policy = policy::policy_args()
        .map(Command::Policy)
        .to_options()
        .descr("Plays a mix of requests against N daemons' decisions and compares policies.")
        .command("policy");
    let capacity = capacity::capacity_args()
        .map(Command::Capacity)
        .to_options()
        .descr("Measures what control costs for each peer, target, record and change.")
        .command("capacity");
    construct!([policy, capacity])
        .to_options()
        .descr("Measurements of whinlatch in virtual time.")
}

fn main() -> ExitCode {
    match parser().run() {
        Command::Policy(args) => policy::run(&args),
        Command::Capacity(args) => capacity::run(&args),
    }
}
