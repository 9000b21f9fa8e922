//! An entry instance that serves published routes. This module owns the connections to callers,
//! targets, peers and the store; [`whinlatch_serving::Serving`] takes the decisions.

mod accept;
mod answer_limits;
mod answers;
mod attempt;
mod caller_connection;
mod decision_line;
mod directory;
mod engine_life;
mod engine_reports;
mod entry_metrics;
mod entry_state;
mod event_splitter;
mod exchange;
mod forward;
mod forwarded_stream;
mod http;
mod inquiries;
mod job_guard;
mod latch;
mod links;
mod memory_hold;
mod open_requests;
mod own_call;
mod permits;
mod placing;
mod plain_calls;
mod request_context;
mod reservations;
mod routing;
mod run;
mod silence;
mod silence_watch;
mod store;
mod stream_events;
mod stream_progress;
mod stream_relay;
mod target_connection;
mod target_pool;

pub use {
    links::{DecodeFault, EncodeFault, decode_frame, encode_frame},
    run::{Entry, EntryOptions, run},
};
