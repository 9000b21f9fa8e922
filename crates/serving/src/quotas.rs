//! How many requests a second targets get that name a limit: one instance grants them for all.

mod permits;
mod quota_book;
mod token_bucket;

pub use {
    permits::{Permission, PermitAnswer, PermitAsk},
    quota_book::QuotaBook,
    token_bucket::TokenBucket,
};
