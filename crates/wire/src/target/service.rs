use {
    crate::ids::{AccountName, AttemptId, Incarnation, ServiceName},
    serde::{Deserialize, Serialize},
};

/// Asks a plain service to run a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// The attempt; echoed in the answer.
    pub attempt: AttemptId,
    /// The daemon that owns the attempt.
    pub owner: Incarnation,
    /// The run of the target that is meant; another run refuses.
    pub expect_incarnation: Incarnation,
    /// Time left, in ms.
    pub deadline_ms: u64,
    /// The service that is meant.
    pub service: ServiceName,
    /// Client account that calls.
    pub account: AccountName,
    /// The caller's body.
    pub body: String,
}

/// The whole answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The attempt that is answered.
    pub attempt: AttemptId,
    /// HTTP status for the caller.
    pub status: u16,
    /// The service's body.
    pub body: String,
}
