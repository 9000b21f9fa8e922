use {
    crate::entropy::random_u128,
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::RequestId,
    },
};

/// A request that is refused before the core sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Outcome for the caller.
    pub outcome: Box<Outcome>,
}

impl Refusal {
    /// A refusal with the usual status of its reason.
    pub fn new(reason: Reason, message: impl Into<String>) -> Self {
        Self::with_status(reason.http_status(), reason, message)
    }

    /// A refusal with a status of its own.
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

    /// Tells the caller when to come back.
    pub fn retry_after_ms(mut self, ms: u64) -> Self {
        self.outcome.retry_after_ms = Some(ms);
        self
    }
}

/// The reason as it stands in headers, bodies and metrics.
pub fn reason_name(reason: Reason) -> String {
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(name)) => name,
        _ => "unknown".to_owned(),
    }
}
