//! Membership of the fleet, and the health and load of targets as seen by this daemon.
//!
//! An engine reads a prompt when it prefills it: `read_ms` is a prefill time everywhere in this crate.

mod load_tracker;
mod members;
mod prefill_cost;
mod target_state;
mod targets;
mod watchers;

pub use {
    load_tracker::{LoadTracker, QueuedPrompt, RemainingWork, SentPrompt},
    members::{Member, Members, MergeResult},
    prefill_cost::{CostRegression, PrefillCost, PrefillSample},
    target_state::TargetState,
    targets::Targets,
    watchers::Watchers,
};
