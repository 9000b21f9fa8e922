//! Reads of the platform service, each requested by an action of the core.

mod reads;

pub use reads::{read_instances, read_records};
