//! The single measurements.

mod added;
mod idle;
mod rate;
mod streams;

pub use {added::added, idle::idle, rate::rate, streams::streams};
