//! Message types of whinlatch, exchanged between callers, targets, the platform and the daemons,
//! with their encoding, decoding and validation. This crate contains no serving logic.

pub mod caller;
pub mod conf;
pub mod ids;
pub mod peer;
pub mod platform;
pub mod record;
pub mod report;
pub mod target;
