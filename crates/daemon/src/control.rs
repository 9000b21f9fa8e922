//! The control thread: it owns the core, hands it what happens and has its actions carried out.

mod control_handle;
mod control_message;
mod control_thread;
mod hands;
mod links;
mod requests;

pub use {
    control_handle::{ControlGone, ControlHandle},
    control_message::{ControlMessage, Instruction, LinkId, Query},
    control_thread::{ControlOptions, ControlThread},
};
