//! Choice of the engines that read a prompt, by the least predicted loss of value: answers on time, of the
//! prompt itself and of others.

mod answer_loss;
mod choose;
mod engine_share;
mod pause_loss;
mod placement_context;
mod prompt_shape;
mod prompt_split;
mod value;

pub use {
    choose::{Choice, choose, work_loss},
    prompt_shape::{Candidate, PromptShape},
    value::{lateness, value_of},
};
