//! Soak test of entry instances as processes. A seed draws faults, which are injected from outside, by
//! signals and by relays between the processes, while simulated callers send requests to stand-ins of
//! targets. What callers and targets observe is checked against the system's promises.

mod environment;
mod finding;
mod flag;
mod instance;
mod observations;
mod options;
mod plan;
mod promises;
mod seed_run;
mod simulated_caller;
mod target;

pub use {
    finding::Finding,
    flag::Flag,
    observations::{InstanceRun, Outcome, RequestKind, RequestRecord, Run},
    options::{Options, options, parse_seeds},
    plan::{Plan, RunParameters, Step, Trouble},
    promises::{Evidence, check_promises},
    seed_run::{RunReport, run_seed},
    target::LimitedPeriod,
};
