//! Control at size: what each peer, target, record, change and open stream costs.
//!
//! The measurements drive the real core through direct calls and encode every frame with the real
//! codec. Time is virtual and there is no model of a network: a message arrives one round later.

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
