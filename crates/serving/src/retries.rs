//! Retries of requests: the fleet's retry budget, and detection of requests that crash their targets.

mod blame;
mod break_verdict;
mod crash_tracker;
mod fleet_budget;
mod part_tracker;
mod unexplained_breaks;

pub use {
    blame::{Blame, Suspect},
    break_verdict::BreakVerdict,
    crash_tracker::{CrashLimits, CrashTracker, Fingerprint},
    fleet_budget::{FleetBudget, FleetBudgetRule},
    part_tracker::{PartTracker, StatementEffect},
    unexplained_breaks::{BrokenRun, UnexplainedBreaks},
};
