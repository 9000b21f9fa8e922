//! The command-line tool run as its users run it.

mod ask;
mod check;
mod reports;
mod support;
mod usage;
