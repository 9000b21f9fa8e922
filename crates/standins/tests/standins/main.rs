//! Tests that the fakes behave as documented.

mod engine;
mod platform;
mod relay;
mod service;
mod support;
