//! The fakes behave as they say.

mod engine;
mod platform;
mod service;
mod support;
