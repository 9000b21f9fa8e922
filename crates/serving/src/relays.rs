//! Relays read the store for others: a few instances of each failure domain watch the store and pass its
//! changes on; the other instances follow them as long as their status is fresh.

mod followed_relays;
mod followers;
mod relay_status;

pub use {
    followed_relays::{FollowedRelays, Relay},
    followers::{Followers, RelayUpdate},
    relay_status::{FollowRequest, KnownState, RelayStatus},
};
