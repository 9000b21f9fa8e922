//! Processes that are signalled to stop while callers keep using open connections until they are gone.

#[path = "shutdown/caller.rs"]
mod caller;
#[path = "shutdown/exits.rs"]
mod exits;
#[path = "shutdown/fixture.rs"]
mod fixture;
#[path = "shutdown/half_read.rs"]
mod half_read;
#[path = "shutdown/undisturbed.rs"]
mod undisturbed;
