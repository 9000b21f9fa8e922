//! The fakes behave as they say.

mod engine;
mod platform;
mod relay;
mod service;
mod support;
