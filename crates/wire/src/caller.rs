//! Requests and responses between callers and daemons, over HTTP/1.1.
//!
//! `GET /v1/entries` answers with [`Entries`]. `POST /v1/completions` takes a
//! [`CompletionRequest`] and answers with server-sent events: [`CompletionChunk`]s, then one
//! event named `outcome` with an [`Outcome`], then `[DONE]`. `POST /v1/services/{name}` takes any
//! body and answers with the body that the service returned.

mod chunk;
mod entries;
mod headers;
mod outcome;

pub use {
    chunk::{CompletionChoice, CompletionChunk, CompletionRequest, estimated_tokens},
    entries::{Entries, Entry},
    headers::{
        ACCOUNT_HEADER, CALLER_HEADER, COMPLETIONS_PATH, DEADLINE_HEADER, DECISIONS_PREFIX,
        ENTRIES_PATH, FORWARDED_HEADER, IDEMPOTENCY_KEY_HEADER, METRICS_PATH, OUTCOME_HEADER,
        REASON_HEADER, RECORDS_REPORT_PATH, REQUEST_HEADER, SERVICES_PREFIX, STATUS_PATH,
        TICKET_HEADER,
    },
    outcome::{Outcome, OutcomeKind, Reason},
};
