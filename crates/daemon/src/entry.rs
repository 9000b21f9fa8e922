//! An entry instance that serves published routes: the connections of callers, targets, peers and
//! the store around [`whinlatch_serving::Serving`], which decides.

mod accept;
mod answers;
mod answers_whole;
mod attempt;
mod caller_connection;
mod decision_line;
mod directory;
mod engine_reports;
mod entry_metrics;
mod entry_state;
mod event_splitter;
mod exchange;
mod http;
mod job_guard;
mod links;
mod memory_hold;
mod own_call;
mod permits;
mod placing;
mod request_context;
mod reservations;
mod routing;
mod run;
mod store;
mod stream_events;
mod stream_relay;
mod target_connection;
mod target_pool;

pub use {
    links::{DecodeFault, EncodeFault, decode_frame, encode_frame},
    run::{Entry, EntryOptions, run},
};
