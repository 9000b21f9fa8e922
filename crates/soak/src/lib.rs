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
mod shutdown_plan;
mod simulated_caller;
mod stops;
mod target;

pub use {
    finding::Finding,
    flag::Flag,
    observations::{InstanceRun, InstanceStop, Outcome, RequestKind, RequestRecord, Run},
    options::{Options, options, parse_seeds},
    plan::{Plan, RunParameters, Step, Trouble},
    promises::{Evidence, check_promises, count_excused},
    seed_run::{RunReport, run_seed},
    stops::{Excuse, Shutdowns},
    target::LimitedPeriod,
};
