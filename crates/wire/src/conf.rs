//! Settings of a daemon and record files, both JSON with comments. A file is checked completely:
//! all faults are reported together, each with its line, the path of the field and the remedy.

mod check;
mod fault;
mod file;
pub(crate) mod reader;
mod records;
mod settings;

pub use {
    check::check_settings,
    fault::{ConfFault, FaultKind},
    file::{ConfFile, check_file},
    records::{RecordEntry, check_records},
    settings::{LimitSettings, LogFormat, LogLevel, LogSettings, Settings},
};
