//! Reads the published configuration and targets from the store.

mod full_read;
mod intake;
mod store_calls;
mod store_pace;
mod store_reader;
mod unreadable_lines;

pub use store_reader::read_store;
