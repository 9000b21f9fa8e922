//! Membership of the fleet, and the health and load of targets as seen by this daemon.

mod load_book;
mod members;
mod prefill_cost;
mod target_state;
mod targets;
mod watchers;

pub use {
    load_book::{Claim, Job, LeftWork, LoadBook},
    members::{Member, Members, Told},
    prefill_cost::{CostSums, PrefillCost, ReadSample},
    target_state::TargetState,
    targets::Targets,
    watchers::Watchers,
};
