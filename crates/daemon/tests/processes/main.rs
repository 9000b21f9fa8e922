//! Failures of whole processes: daemons that are killed, frozen and cut off while they work.
//!
//! The daemons are the built program, the fakes run in this process and count what was run.
//! Everything waits for events.

mod client;
mod leaving;
mod memory;
mod partition;
mod process;
mod records;
mod silence;
mod tickets;
mod wait;
mod world;
