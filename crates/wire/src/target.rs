//! Requests of daemons to targets and their responses, over HTTP/1.1 with JSON bodies.
//!
//! | request | body | response |
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

/// Path that accepts prompts.
pub const GENERATE_PATH: &str = "/v1/generate";
/// Path that accepts calls to a plain service.
pub const CALL_PATH: &str = "/v1/call";
/// Path that cancels an attempt.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path that reserves memory for a group of engines, or renews a reservation.
pub const RESERVE_PATH: &str = "/v1/reserve";
/// Path that releases a reservation.
pub const RELEASE_PATH: &str = "/v1/release";
/// Path of the target's [`LoadReport`].
pub const REPORT_PATH: &str = "/v1/report";
/// Path of the changes of an engine's prefix cache.
pub const CACHE_EVENTS_PATH: &str = "/v1/cache_events";
/// Path that prepares cached blocks for transfer to another engine.
pub const KV_EXPORT_PATH: &str = "/v1/kv/export";
/// Path that fetches cached blocks from another engine.
pub const KV_IMPORT_PATH: &str = "/v1/kv/import";
/// Path that accepts orders.
pub const ORDERS_PATH: &str = "/v1/orders";
/// Path of the engine state that orders change.
pub const STATE_PATH: &str = "/v1/state";

/// Number of tokens in one block of a prompt, the unit of prefix hashes.
pub const PREFIX_BLOCK_TOKENS: u64 = 4_096;
