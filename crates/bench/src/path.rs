//! Measures the daemon as a process: the time that it adds to a request, the requests that a core
//! serves, its memory with open streams, and its share of a core while it is idle.
//!
//! The fakes and the daemons are programs of their own from the folder of this program, so that
//! the processor time of each is counted apart. All is on the loopback, on free ports.

mod args;
mod child;
mod client;
mod errors;
mod figures;
mod folder;
mod measure;
mod process_use;
mod report;
mod run;
mod setup;

pub use {
    args::{PathArgs, path_args},
    run::run,
};
