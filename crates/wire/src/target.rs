//! What targets are asked and what they answer, over HTTP/1.1 with JSON bodies.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/generate` | [`GenerateRequest`] | server-sent [`StreamChunk`]s, or [`Refusal`] |
//! | `POST /v1/call` | [`ServiceCall`] | [`ServiceAnswer`], or [`Refusal`] |
//! | `POST /v1/cancel` | [`CancelRequest`] | 204 |
//! | `POST /v1/reserve` | [`ReserveRequest`] | 204, or [`Refusal`] |
//! | `POST /v1/release` | [`ReleaseRequest`] | 204 |
//! | `GET /v1/report` | | [`LoadReport`] |
//! | `GET /v1/cache_events?after=N` | | [`CacheEvents`] |
//! | `POST /v1/kv/export`, `POST /v1/kv/import` | [`KvExport`], [`KvImport`] | [`KvHandle`], 204 |
//! | `POST /v1/orders` | [`Order`] | [`OrderAnswer`] |
//! | `GET /v1/state` | | [`EngineState`] |

mod generate;
mod kv;
mod order;
mod report;
mod service;

pub use {
    generate::{
        CancelRequest, GenerateRequest, GroupMember, Refusal, RefusalReason, ReleaseRequest,
        ReserveRequest, StreamChunk,
    },
    kv::{CacheEvent, CacheEvents, KvExport, KvHandle, KvImport},
    order::{EngineMode, EngineState, Order, OrderAnswer, OrderVerdict},
    report::{Holding, LoadReport},
    service::{ServiceAnswer, ServiceCall},
};

/// Path for prompts.
pub const GENERATE_PATH: &str = "/v1/generate";
/// Path for calls of a plain service.
pub const CALL_PATH: &str = "/v1/call";
/// Path that cancels an attempt.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path that sets memory aside.
pub const RESERVE_PATH: &str = "/v1/reserve";
/// Path that gives memory back.
pub const RELEASE_PATH: &str = "/v1/release";
/// Path of the load report.
pub const REPORT_PATH: &str = "/v1/report";
/// Path of the cache events.
pub const CACHE_EVENTS_PATH: &str = "/v1/cache_events";
/// Path that makes cached blocks ready for another engine.
pub const KV_EXPORT_PATH: &str = "/v1/kv/export";
/// Path that fetches cached blocks from another engine.
pub const KV_IMPORT_PATH: &str = "/v1/kv/import";
/// Path for orders.
pub const ORDERS_PATH: &str = "/v1/orders";
/// Path of the state that orders change.
pub const STATE_PATH: &str = "/v1/state";

/// Tokens in one block of a prompt's prefix chain.
pub const PREFIX_BLOCK_TOKENS: u64 = 4_096;
