//! Repair of the records of two daemons after a partition: the ways that were weighed.
//!
//! Each way is played between two sets of records, with each message encoded as CBOR. The ranges
//! follow the idea of range-based set reconciliation over a store that sums up ranges and finds
//! items by rank, as in E. G. Amparore, "Range-Based Set Reconciliation via Range-Summarizable
//! Order-Statistics Stores", 2026.

mod after;
mod cases;
mod flat;
mod index;
mod ranges;
mod side;
mod table;
mod transcript;

pub use table::{Repair, measure};
