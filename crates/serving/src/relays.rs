//! Relays read the store for others: a few instances of each failure domain watch the store and pass its
//! changes on; the other instances follow them as long as their status is fresh.

mod followers;
mod following;
mod word;

pub use {
    followers::{Followers, Shipment},
    following::{Following, Relay},
    word::{Extent, Follow, Word},
};
