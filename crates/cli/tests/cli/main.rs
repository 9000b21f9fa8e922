//! Tests that run the command-line tool as a process.

mod ask;
mod check;
mod losses;
mod reports;
mod support;
mod timeline;
mod usage;
