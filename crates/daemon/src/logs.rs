//! Logs: one short line for each decision, with the prefix of its subsystem and the request's id.

mod decision_log;
mod line_queue;
mod setup;

pub use {
    decision_log::DecisionLog,
    line_queue::LineQueue,
    setup::{set_up, set_up_lines},
};
