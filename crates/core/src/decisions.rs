//! Decisions, for the log and for reports to operators.

mod decision;
mod decision_history;

pub use {
    decision::{Decision, Subsystem},
    decision_history::DecisionHistory,
};
