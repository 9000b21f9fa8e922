//! Comparison of methods to repair the records of two daemons after a partition: the best candidates and
//! the method in use.
//!
//! Each method runs between two sets of records and encodes each message as CBOR. Splitting ranges by rank
//! and sending the records of whole buckets were compared too; docs/CAPACITY.md has the results.

mod buckets;
mod cases;
mod exchange_cost;
mod index;
mod methods;
mod newer;
mod replica;

pub use methods::{Repair, measure, measure_exact};
