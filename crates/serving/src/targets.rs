//! Published targets: which of them take requests, what they announce in their answers, and how calls of
//! plain services are spread over them.

mod address_owners;
mod call_loads;
mod failure_share;
mod notice_book;
mod target_book;
mod target_entry;
mod target_limit;
mod target_notice;

pub use {
    address_owners::{AddressClaim, AddressOwners},
    call_loads::CallLoads,
    failure_share::FailureShare,
    notice_book::NoticeBook,
    target_book::{Displaced, TargetBook, TargetChange},
    target_entry::{TargetEntry, TargetState},
    target_limit::TargetLimit,
    target_notice::TargetNotice,
};
