//! Decisions of an entry instance that serves published routes: the route and client account of a request,
//! the targets to which it is sent, whether it may be retried, and what the instance learns from and
//! reports to its peers.
//!
//! The crate has no sockets, clocks or threads: each call takes the time at which it is made.

pub mod calls;
pub mod catalog;
pub mod engines;
pub mod fleet;
pub mod mechanism;
pub mod names;
pub mod placement;
pub mod quotas;
pub mod reach;
pub mod relays;
pub mod retries;
pub mod shutdown;
pub mod targets;

mod serving;

pub use serving::{
    BrokenAttempt, CallPlacement, CallRequest, DecisionInputs, ForwardPeer, Heartbeat,
    HeartbeatReach, Inquiry, PromptPlacement, PromptRequest, Recipients, Refusal, SOUND_EVENTS,
    Serving, StoreRole, WantedLinks,
};
