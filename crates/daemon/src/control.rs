//! The control thread: it owns the core, feeds it events and executes the actions it returns.

mod action_executor;
mod control_handle;
mod control_message;
mod control_thread;
mod links;
mod requests;

pub use {
    control_handle::{ControlHandle, ControlStopped},
    control_message::{ControlMessage, Instruction, LinkId, Query},
    control_thread::{ControlOptions, ControlThread},
};
