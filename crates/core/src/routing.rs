//! Choice of the target for a request.

mod ask;
mod router;

pub use {
    ask::{Ask, NoChoice},
    router::{Router, draw_provider, memory_of, serves, tokens_of},
};
