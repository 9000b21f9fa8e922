//! HTTP/1.1 requests over one connection each, and a reader of server-sent events.

mod exchange;
mod sse;

pub(crate) use {
    exchange::{ExchangeError, get, read_text, send, url},
    sse::{Event, EventReader},
};
