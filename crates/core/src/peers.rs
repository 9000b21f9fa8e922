//! Links between daemons: heartbeats, news that is passed on, and agreement on the records.

mod links;

pub use links::Links;
