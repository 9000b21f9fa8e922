//! Settings of the daemon.

mod load;

pub use load::load;
