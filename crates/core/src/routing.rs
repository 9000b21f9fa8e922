//! Choice of the target for a request.

mod ask;
mod candidates;
mod free_share;
mod router;

pub use {
    ask::{Ask, NoChoice, Priorities, Weight},
    candidates::{Candidate, Candidates, serves, tokens_of},
    free_share::FreeShare,
    router::{Choice, Router, Scene, choice},
};
