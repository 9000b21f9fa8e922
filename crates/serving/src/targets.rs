//! The targets that are published, and what becomes of them.

mod address_holders;
mod calls;
mod failure_share;
mod notice_book;
mod target_book;
mod target_entry;
mod target_limit;
mod target_notice;

pub use {
    address_holders::{AddressHolders, Claim},
    calls::CallLoads,
    failure_share::FailureShare,
    notice_book::NoticeBook,
    target_book::{Displaced, TargetBook, TargetChange},
    target_entry::{TargetEntry, TargetState},
    target_limit::TargetLimit,
    target_notice::TargetNotice,
};
