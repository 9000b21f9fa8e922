use {
    crate::entropy::random_u128,
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::RequestId,
    },
};

/// An answer that consists of an outcome only. The constructors are for requests that are refused
/// before they reach the core; their outcome is `not_run`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status of the answer.
    pub status: u16,
    /// Outcome, sent as the body and in headers.
    pub outcome: Box<Outcome>,
}

impl Refusal {
    /// Creates a refusal with the default HTTP status of its reason.
    pub fn new(reason: Reason, message: impl Into<String>) -> Self {
        Self::with_status(reason.http_status(), reason, message)
    }

    /// Creates a refusal with another status than the default one of its reason.
    pub fn with_status(status: u16, reason: Reason, message: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Box::new(Outcome {
                request: RequestId(random_u128()),
                outcome: OutcomeKind::NotRun,
                reason,
                message: message.into(),
                retry_after_ms: None,
                ticket: None,
            }),
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after_ms(mut self, ms: u64) -> Self {
        self.outcome.retry_after_ms = Some(ms);
        self
    }
}

/// Returns a reason's name in headers, bodies and metrics.
pub fn reason_name(reason: Reason) -> String {
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(name)) => name,
        _ => "unknown".to_owned(),
    }
}
