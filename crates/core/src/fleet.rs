//! What is known of the other daemons and of the targets.

mod members;
mod target_state;
mod targets;
mod watchers;

pub use {
    members::{Member, Members, Told},
    target_state::TargetState,
    targets::Targets,
    watchers::Watchers,
};
