//! The configuration that operators publish: routes, services, client accounts and limits.

mod account;
mod configuration;
mod engine_spec;
mod limits;
mod route;
mod service;

pub use {
    account::Account,
    configuration::{Configuration, RouteError},
    engine_spec::EngineSpec,
    limits::Limits,
    route::{RetryPolicy, Route, ServiceShare},
    service::{ColdStart, Service},
};
