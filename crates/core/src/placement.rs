//! Engines for long prompts: claimed while they wait, reserved all or none, often more than one.

mod choose_group;
mod group;
mod groups;

pub use {
    choose_group::{ChosenGroup, NoGroup, Waiter, choose_group},
    group::{Group, GroupState, Part, RESERVE_WITHIN_MS},
    groups::{DueGroup, Groups},
};
