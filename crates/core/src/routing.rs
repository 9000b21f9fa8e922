//! Choice of the target for a request: candidates from the records, provider shares, predicted times.

mod ask;
mod candidates;
mod provider_rotation;
mod router;
mod short_prompt_reserve;

pub use {
    ask::{Ask, NoChoice, Priorities, Weight},
    candidates::{Candidate, Candidates, serves, tokens_of},
    provider_rotation::ProviderRotation,
    router::{Choice, Router, Scene, choice},
    short_prompt_reserve::ShortPromptReserve,
};
