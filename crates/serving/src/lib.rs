//! Decisions of an entry instance that serves published routes: which route and client account a
//! request belongs to, which targets it goes to, whether it may be tried again, who the other
//! instances are and what they are told.
//!
//! No sockets, clocks or threads: each call takes the moment at which it is made.

pub mod catalog;
pub mod engines;
pub mod fleet;
pub mod mechanism;
pub mod names;
pub mod placement;
pub mod quotas;
pub mod relays;
pub mod retries;
pub mod targets;

mod serving;

pub use serving::{
    CallPlacement, CallRequest, DecisionInputs, PromptPlacement, PromptRequest, Recipients,
    Refusal, Serving, StoreRole, WantedLinks,
};
