//! Configuration records: the revisions held, the ones in force, their exchange with peers and
//! their reading from the platform.

mod buckets;
mod exchange;
mod full_read;
mod held_record;
mod in_force;
mod name_index;
mod platform_reader;
mod read_budget;
mod record_store;

pub use {
    buckets::{BUCKET_COUNT, BucketDigests},
    full_read::FullRead,
    in_force::InForce,
    platform_reader::{PlatformRead, PlatformReader, ReaderRole},
    record_store::{Merge, MissingRecords, RecordStore},
};
pub(crate) use {exchange::frame_bytes, held_record::key_hash};
