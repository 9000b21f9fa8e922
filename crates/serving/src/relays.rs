//! One reading of the store for many: a few instances of each failure domain watch it and pass on what
//! it tells; the others go by them while their word is fresh.

mod followers;
mod following;
mod word;

pub use {
    followers::{Followers, Shipment},
    following::{Following, Relay},
    word::{Extent, Follow, Word},
};
