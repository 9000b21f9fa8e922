//! The HTTP/1.1 interface for callers and operators.

mod answer;
mod answer_store;
mod connection;
mod exchange;
mod forward;
mod hangup;
mod listener;
mod open_connections;
mod open_requests;
mod pages;
mod refusal;
mod request_head;
mod routes;
mod stream_answer;
mod submission;
mod write_answer;

pub use {
    answer_store::AnswerStore,
    listener::serve,
    open_connections::OpenConnections,
    open_requests::{OpenRequest, OpenRequests},
    refusal::reason_name,
};
