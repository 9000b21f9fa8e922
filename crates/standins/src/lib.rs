//! Small fakes at the interfaces of whinlatch: the platform, a model engine, a plain service and a
//! relay between processes. They are for tests and the demo and are never shipped.
//!
//! Each fake runs in process, or as a subcommand of the program `whinlatch-standins`. It stops
//! when it is dropped. Whoever tests reads and drives it by its methods or by HTTP under
//! `/standin/` on the port of the fake itself.

pub mod engine;
mod http;
pub mod platform;
pub mod relay;
pub mod service;
mod signal;
mod standin;
mod target;

pub use {
    engine::{Engine, EngineOptions},
    platform::{Platform, PlatformOptions},
    relay::{Relay, RelayOptions},
    service::{PlainService, ServiceOptions},
    standin::Standin,
    target::{AnswerFault, Die, Faults, TargetStats},
};
