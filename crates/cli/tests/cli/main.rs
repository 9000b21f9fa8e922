//! The command-line tool run as its users run it.

mod ask;
mod check;
mod log_story;
mod losses;
mod reports;
mod support;
mod usage;
