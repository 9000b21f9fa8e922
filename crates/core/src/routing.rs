//! Choice of the target for a request: candidates from the records, provider shares, predicted times.

mod candidates;
mod provider_rotation;
mod router;
mod routing_request;
mod short_prompt_reserve;

pub(crate) use router::AVOIDED_PENALTY_MS;
pub use {
    candidates::{Candidate, Candidates, serves, tokens_of},
    provider_rotation::ProviderRotation,
    router::{Choice, Router, RoutingContext, predict_choice},
    routing_request::{Priorities, RoutingError, RoutingRequest, Weight},
    short_prompt_reserve::ShortPromptReserve,
};
