//! Links between instances. An instance opens the links that it needs and those that peers request, and only
//! sends on them; it receives over the links that peers open. A broken link is opened again and begins
//! with the state that the peer needs.

mod frame_codec;
mod incoming;
mod keeper;
mod outgoing;
mod peer_links;
mod pending_requests;

pub use {
    frame_codec::{DecodeFault, EncodeFault, decode_frame, encode_frame},
    incoming::accept_links,
    keeper::keep_links,
    peer_links::{PeerLinks, Queued},
};
