//! Decision logic of whinlatch, without sockets, clocks or threads.
//!
//! [`Core::handle`] takes the time and an [`Event`] and returns [`Action`]s for the process around
//! it to carry out. Random numbers come from a seed, so the same seed and the same sequence of events
//! give the same decisions.

mod action;
mod core;
mod event;
mod time;

pub mod admission;
pub mod decisions;
pub mod fleet;
pub mod orders;
pub mod peers;
pub mod placement;
pub mod records;
pub mod requests;
pub mod routing;

pub use {
    crate::core::{Core, CoreOptions},
    action::{Action, Dispatch, TargetCall},
    event::{AttemptEvent, Event, ForwardEnd, PlatformEvent, Submission, TargetEvent, Work},
    time::MonoMs,
};
