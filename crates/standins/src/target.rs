//! What an engine and a plain service have in common.

use {
    crate::http::{Answer, json},
    http_types::StatusCode,
    serde::{Deserialize, Serialize},
    whinlatch_wire::{
        ids::{AttemptId, Incarnation},
        target::{Refusal, RefusalReason},
    },
};

/// Drops all connections and refuses new ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Die {
    /// When a new incarnation starts on the same address; never if absent.
    pub back_after_ms: Option<u64>,
}

/// Draws the name of a new run.
pub fn new_incarnation() -> Incarnation {
    Incarnation(fastrand::u128(..))
}

/// Answers that the attempt was not run and never will be.
pub fn refuse(attempt: AttemptId, reason: RefusalReason) -> Answer {
    let code = match reason {
        RefusalReason::Invalid => StatusCode::BadRequest,
        RefusalReason::OtherIncarnation => StatusCode::Conflict,
        RefusalReason::Full
        | RefusalReason::Leaving
        | RefusalReason::NotLoaded
        | RefusalReason::Expired => StatusCode::ServiceUnavailable,
    };
    json(
        code,
        &Refusal {
            attempt,
            reason,
            retry_after_ms: None,
        },
    )
}
