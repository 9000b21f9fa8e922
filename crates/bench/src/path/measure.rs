//! The measurements of a running daemon.

mod added;
mod idle;
mod rate;
mod streams;

pub use {added::added, idle::idle, rate::rate, streams::streams};
