//! Which targets this instance and its peers reach, as opposed to which targets serve.

mod own_reach;
mod peer_reach;
mod unconfirmed_failures;

pub use {
    own_reach::OwnReach,
    peer_reach::{PeerReach, ReachStatement},
    unconfirmed_failures::UnconfirmedFailures,
};
