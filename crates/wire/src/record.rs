//! Configuration records as operators publish them. Two schema versions are valid at the same time.
//!
//! A record is sent as a [`RecordEnvelope`] whose value is never re-encoded, so that a daemon that
//! doesn't know a schema version still passes the record on unchanged.

mod account;
mod body;
mod envelope;
mod policy;
mod read;
mod route;
mod target;

pub(crate) use read::read_record;
pub use {
    account::AccountRecord,
    body::{NEWEST_SCHEMA, OLDEST_SCHEMA, RecordBody, RecordFault, parse_record},
    envelope::RecordEnvelope,
    policy::PolicyRecord,
    route::{ProviderShare, RouteRecord, RouteSubject},
    target::{ServedModel, TargetRecord, TargetRole},
};
