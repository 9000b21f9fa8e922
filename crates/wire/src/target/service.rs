use {
    crate::ids::{AccountName, AttemptId, Incarnation, ServiceName},
    serde::{Deserialize, Serialize},
};

/// A request to a plain service to run a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Id of the attempt, echoed in the response.
    pub attempt: AttemptId,
    /// Daemon that owns the attempt.
    pub owner: Incarnation,
    /// Run of the target that the call is for; any other run refuses it.
    pub expect_incarnation: Incarnation,
    /// Time until the deadline, in ms.
    pub deadline_ms: u64,
    /// Name of the service to run.
    pub service: ServiceName,
    /// Client account on whose behalf the call is made.
    pub account: AccountName,
    /// Body of the caller's request.
    pub body: String,
}

/// The complete response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Attempt that the response belongs to.
    pub attempt: AttemptId,
    /// HTTP status to return to the caller.
    pub status: u16,
    /// Body to return to the caller.
    pub body: String,
}
