//! Links to other daemons: CBOR frames over WebSocket connections.

mod handshake;
mod link;
mod listener;
mod outgoing;

pub use {link::open_link, listener::serve, outgoing::link_config};
