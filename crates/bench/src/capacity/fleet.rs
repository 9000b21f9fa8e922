//! A simulated fleet: cores driven by direct calls, where each message arrives one round after it was
//! sent.

mod counters;
mod daemon;
mod deliver;
mod links;
mod network;
mod published;
mod reads;
mod target_calls;

pub use {
    counters::Counters,
    daemon::{core_of, hello_of},
    network::{Fleet, FleetOptions},
    published::{
        Published, PublishedSize, account_key, account_key_sha256, account_value, envelope,
        target_name,
    },
    reads::encode_pages,
    target_calls::report_of,
};
