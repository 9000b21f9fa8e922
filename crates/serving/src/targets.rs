//! The targets that are published, and what becomes of them.

mod address_holders;
mod calls;
mod failure_share;
mod target_book;
mod target_entry;

pub use {
    address_holders::{AddressHolders, Claim},
    calls::CallLoads,
    failure_share::FailureShare,
    target_book::{Displaced, TargetBook, TargetChange},
    target_entry::{TargetEntry, TargetState},
};
