//! Measures how the cost of the control plane grows with the number of peers, targets, records, changes
//! and open streams.
//!
//! The measurements call the production core directly and encode every frame with the production codec.
//! Time is virtual. The network isn't modelled: a message arrives one round after it was sent.

mod args;
mod clock;
mod fit;
mod fleet;
mod heap;
mod measure;
mod repair;
mod report;
mod run;
mod size;

pub use {
    args::{CapacityArgs, capacity_args},
    run::run,
};
