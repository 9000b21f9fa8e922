//! Links between instances. Each opens those that it wants and those that peers ask for, and only
//! sends on them; what it hears comes over the links that the others open. One that breaks is opened
//! anew and begins with all that the peer needs.

mod awaiting;
mod frame_codec;
mod incoming;
mod keeper;
mod outgoing;
mod peer_links;

pub use {
    frame_codec::{DecodeFault, EncodeFault, decode_frame, encode_frame},
    incoming::take_links,
    keeper::keep_links,
    peer_links::PeerLinks,
};
