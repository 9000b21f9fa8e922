//! Reads of the platform, each at the core's word.

mod reads;

pub use reads::{read_instances, read_records};
