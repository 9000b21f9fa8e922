//! A soak of entry instances as processes: faults are drawn by a seed and injected from outside, by
//! signals and by relays between the processes, while callers ask and targets answer. What callers
//! and targets see is held against what the system promises.

mod finding;
mod flag;
mod instance;
mod ledger;
mod load;
mod options;
mod plan;
mod play;
mod promises;
mod target;
mod world;

pub use {
    finding::Finding,
    flag::Flag,
    ledger::{Asked, InstanceRun, Kind, Outcome, Run},
    options::{Options, options, parse_seeds},
    plan::{Plan, Size, Step, Trouble},
    play::{Played, play},
    promises::{Evidence, judge},
    target::Limited,
};
