//! Command-line options and the dispatch of commands.

mod options;
mod run;

pub(crate) use {
    options::{AskOptions, Subject},
    run::run,
};
