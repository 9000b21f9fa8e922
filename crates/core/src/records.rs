//! Configuration records: what is held, and what of it is in force.

mod in_force;
mod record_store;

pub use {
    in_force::InForce,
    record_store::{Merge, RecordStore},
};
