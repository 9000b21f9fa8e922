//! Measures the daemon as a process: the latency that it adds to a request, the requests that it serves per
//! core, its memory with open streams, and its CPU usage while it is idle.
//!
//! The stand-ins and the daemons run as processes of their own, so that the CPU time of each can be read
//! separately. Their binaries are in the directory of this one. All listen on free loopback ports.

mod args;
mod child;
mod client;
mod errors;
mod figures;
mod measure;
mod process_usage;
mod report;
mod run;
mod setup;
mod temp_dir;

pub use {
    args::{PathArgs, path_args},
    run::run,
};
