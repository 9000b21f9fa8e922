//! Which targets this instance and its peers reach, as opposed to which targets serve.

mod connection_breaks;
mod own_reach;
mod peer_reach;
mod unconfirmed_failures;

pub use {
    connection_breaks::ConnectionBreaks,
    own_reach::OwnReach,
    peer_reach::{PeerReach, ReachStatement},
    unconfirmed_failures::UnconfirmedFailures,
};
