//! Decisions as they are logged and explained to operators.

mod decision;
mod decision_book;

pub use {
    decision::{Decision, Part},
    decision_book::DecisionBook,
};
