//! The command line.

mod options;
mod run;

pub(crate) use {
    options::{AskOptions, Subject},
    run::run,
};
