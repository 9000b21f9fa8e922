//! Placement of long prompts on groups of engines: queued at the engines, then reserved all or none.

mod choose_group;
mod group;
mod groups;

pub use {
    choose_group::{ChosenGroup, GroupError, WaitingPrompt, choose_group},
    group::{Group, GroupState, Part, RESERVE_TIMEOUT_MS},
    groups::{DueGroup, Groups},
};
