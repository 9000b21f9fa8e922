//! Configuration records: what is held, and what of it is in force.

mod buckets;
mod claims;
mod exchange;
mod full_read;
mod held;
mod in_force;
mod platform_reader;
mod read_budget;
mod record_store;

pub use {
    buckets::{BUCKETS, Buckets},
    full_read::FullRead,
    in_force::InForce,
    platform_reader::{PlatformRead, PlatformReader, ReaderRole},
    record_store::{Absent, Merge, RecordStore},
};
pub(crate) use {exchange::size, held::key_hash};
