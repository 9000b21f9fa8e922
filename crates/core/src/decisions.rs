//! Decisions, for the log and for reports to operators.

mod decision;
mod decision_history;

pub use {
    decision::{Decision, Part},
    decision_history::DecisionBook,
};
