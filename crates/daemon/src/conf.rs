//! Loading of the daemon's settings file.

mod load;

pub use load::load;
