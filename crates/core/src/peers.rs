//! Links between daemons: heartbeats, news that is passed on, and agreement on the records.

mod link;
mod links;
mod news_queue;
mod record_pulls;
mod ring;

pub use {
    links::{HEARTBEAT_MS, Links},
    news_queue::NewsQueue,
    record_pulls::RecordPulls,
    ring::{FULL_MESH, Place, Ring},
};
