//! Repair of the records of two daemons after a partition: the ways that came out best, and the one in use.
//!
//! Each way is played between two sets of records, with each message encoded as CBOR. Ranges split
//! by rank and records of whole buckets were weighed too; docs/CAPACITY.md has their figures.

mod after;
mod cases;
mod flat;
mod index;
mod side;
mod table;
mod transcript;

pub use table::{Repair, measure, measure_exact};
