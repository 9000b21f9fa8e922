//! Settings of a daemon: JSON with comments, checked whole before the start.

mod settings;

pub use settings::{LimitSettings, LogFormat, LogLevel, LogSettings, Settings};
