//! The process around [`whinlatch_core::Core`]: it feeds external events to the core and
//! executes the actions that the core returns.
//!
//! One thread, see [`control`], owns the core and all control state. Requests run as tasks on
//! the thread pool of async-std and communicate with that thread over bounded channels.

pub mod app;
pub mod callers;
pub mod clock;
pub mod conf;
pub mod control;
pub mod entropy;
pub mod entry;
pub mod errors;
pub mod listen;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod shared;
pub mod targets;
