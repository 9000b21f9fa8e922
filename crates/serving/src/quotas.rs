//! Rate limits of targets: for each limited target, one instance grants permits to the whole fleet.

mod permits;
mod quota_book;
mod token_bucket;

pub use {
    permits::{Permission, PermitAnswer, PermitAsk},
    quota_book::QuotaBook,
    token_bucket::TokenBucket,
};
