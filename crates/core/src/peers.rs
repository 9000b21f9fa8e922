//! Links between daemons: topology, heartbeats, gossip and synchronization of records.

mod link;
mod links;
mod news_queue;
mod record_pulls;
mod ring;

pub use {
    links::{HEARTBEAT_INTERVAL_MS, Links},
    news_queue::NewsQueue,
    record_pulls::RecordPulls,
    ring::{MAX_FULL_MESH_DAEMONS, Ring, RingNode},
};
