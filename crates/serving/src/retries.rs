//! Retries of requests: the fleet's retry budget, and detection of requests that crash their targets.

mod crash_tracker;
mod fleet_budget;

pub use {
    crash_tracker::{CrashTracker, Fingerprint},
    fleet_budget::{FleetBudget, FleetBudgetRule},
};
