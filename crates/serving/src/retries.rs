//! Retries of requests: the fleet's retry budget, and detection of requests that crash their targets.

mod crash_book;
mod fleet_budget;

pub use {
    crash_book::{CrashBook, Fingerprint},
    fleet_budget::{FleetBudget, FleetBudgetRule},
};
