//! Rate limits of targets, announced or while they are cold: for each limited target, one instance grants
//! permits to the whole fleet.

mod cold_limit;
mod permits;
mod quota_table;
mod token_bucket;

pub use {
    cold_limit::ColdLimitRule,
    permits::{Permission, PermitRequest, PermitResponse},
    quota_table::QuotaTable,
    token_bucket::TokenBucket,
};
