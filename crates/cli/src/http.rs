//! One HTTP/1.1 exchange, and server-sent events.

mod exchange;
mod sse;

pub(crate) use {
    exchange::{ExchangeError, get, read_text, send, url},
    sse::{Event, EventReader},
};
