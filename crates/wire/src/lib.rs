//! Typed messages of whinlatch: what callers, targets, the platform and the daemons say to each
//! other, and how each is encoded and decoded. Nothing here decides anything.

pub mod caller;
pub mod conf;
pub mod ids;
pub mod peer;
pub mod platform;
pub mod record;
pub mod report;
pub mod target;
