//! Fakes of the systems that whinlatch talks to: the platform, a model engine, a plain service and a TCP
//! relay between processes. They are used by tests and the demo only.
//!
//! Each fake runs in process, or as a subcommand of the program `whinlatch-standins`, and stops when it is
//! dropped. Tests control and inspect it by its methods, or by HTTP under `/standin/` on the port of the
//! fake itself.

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
    target::{AnswerFault, CrashOptions, Faults, TargetStats},
};
