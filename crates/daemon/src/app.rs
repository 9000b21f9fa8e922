//! The daemon as a program, and as a value that tests run in their own process.

mod args;
mod daemon;
mod run;
mod signals;

pub use {
    daemon::{Daemon, DaemonOptions},
    run::run,
    signals::{ProcessSignal, process_signals},
};
