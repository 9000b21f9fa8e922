//! Rate limits of targets: for each limited target, one instance grants permits to the whole fleet.

mod permits;
mod quota_table;
mod token_bucket;

pub use {
    permits::{Permission, PermitRequest, PermitResponse},
    quota_table::QuotaTable,
    token_bucket::TokenBucket,
};
