//! Which engines read a prompt: the choice with the least predicted loss of answers on time.

mod answering;
mod choose;
mod division;
mod pauses;
mod prompt_shape;
mod setting;
mod share;
mod value;

pub use {
    choose::{Choice, choose, work_loss},
    prompt_shape::{Candidate, PromptShape},
    value::{lateness, value_of},
};
