//! Links between daemons: heartbeats, news that is passed on, and agreement on the records.

mod links;
mod record_pulls;

pub use {links::Links, record_pulls::RecordPulls};
