//! Calls to targets: attempts, whose answers are passed to callers, and control calls such as reports,
//! orders and reservations.

mod attempt;
mod calls;
mod connect;
mod event_reader;
mod gate;
mod generate;
mod json_call;
mod liveness;
mod service_call;

pub use {
    attempt::{Attempt, AttemptWork, Step},
    calls::call,
    connect::{GuardedStream, connect, connect_within, set_options},
    json_call::{CallError, MAX_ANSWER_BYTES, get_json, read_body},
};
