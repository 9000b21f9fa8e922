//! Requests that are served through a peer, since this instance reaches no target of their service.
//!
//! A request is forwarded to the address at which the peer accepts callers, as its caller sent it, with one header that
//! says what became of it before. The peer serves it like a request of its own, and never forwards it again.

mod forward_guard;
mod forward_note;
mod forward_send;
mod target_probe;

pub use {
    forward_guard::{ForwardGuard, TakenForward},
    forward_note::ForwardNote,
    forward_send::{Forward, ForwardFault, ForwardedHead, NOT_TAKEN},
    target_probe::probe_targets,
};
