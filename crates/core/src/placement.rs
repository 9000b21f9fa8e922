//! Groups of engines for prompts beyond the memory of one.

mod choose_group;
mod group;
mod groups;

pub use {
    choose_group::{ChosenGroup, NoGroup, choose_group},
    group::{Group, GroupState, Part, RESERVE_WITHIN_MS},
    groups::{DueGroup, Groups},
};
