//! Process failures: daemons that are killed, frozen and partitioned while they serve requests.
//!
//! The daemons run as processes of the built program. The stand-ins run in this process and count the
//! calls that were run. The tests wait for conditions, not for fixed times.

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
