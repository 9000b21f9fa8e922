//! Predicted state of the engines, from the prompts that instances sent them.

mod engine_load;
mod engine_loads;
mod work_rate;

pub use {
    engine_load::{EngineLoad, Occupancy, UnreadPart, WritingStream},
    engine_loads::{EngineLoads, Job},
    work_rate::WorkRate,
};
