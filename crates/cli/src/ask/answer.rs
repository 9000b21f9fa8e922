use {
    crate::errors::Exit,
    serde::Serialize,
    std::net::SocketAddr,
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::{RequestId, Ticket},
    },
};

/// Reason reported when no entry could be reached.
pub(super) const NO_ENTRY: &str = "no_entry";
/// Reason reported when the connection broke before the outcome arrived.
pub(super) const CONNECTION_LOST: &str = "connection_lost";
/// Reason reported when the response carries no outcome, so that it doesn't come from whinlatch.
pub(super) const BAD_ANSWER: &str = "bad_answer";

/// Final outcome of a request, as an entry reported it or as the tool determined it.
#[derive(Debug, Clone, Serialize)]
pub(super) struct RequestEnd {
    pub outcome: OutcomeKind,
    pub reason: String,
    pub message: String,
    pub request: Option<RequestId>,
    pub retry_after_ms: Option<u64>,
    pub ticket: Option<Ticket>,
}

impl From<Outcome> for RequestEnd {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome: outcome.outcome,
            reason: reason_text(outcome.reason),
            message: outcome.message,
            request: Some(outcome.request),
            retry_after_ms: outcome.retry_after_ms,
            ticket: outcome.ticket,
        }
    }
}

impl RequestEnd {
    /// Creates an outcome that the tool determined itself, without an id from an entry.
    pub fn local(outcome: OutcomeKind, reason: &str, message: &str) -> Self {
        Self {
            outcome,
            reason: reason.to_owned(),
            message: message.to_owned(),
            request: None,
            retry_after_ms: None,
            ticket: None,
        }
    }

    /// Returns true if the entry refused the call for lack of a ticket and issued one to resend it with.
    pub fn requires_ticket(&self) -> bool {
        self.ticket.is_some() && self.reason == reason_text(Reason::TicketNeeded)
    }

    /// Returns true if the request was not run for a reason that concerns only this entry, so that another
    /// may accept it.
    pub fn is_retryable_elsewhere(&self) -> bool {
        const ENTRY_REASONS: [Reason; 3] = [Reason::Leaving, Reason::Paused, Reason::NoRecords];
        self.outcome == OutcomeKind::NotRun
            && ENTRY_REASONS
                .iter()
                .any(|reason| self.reason == reason_text(*reason))
    }
}

/// Returns the reason as it is written in JSON.
pub(super) fn reason_text(reason: Reason) -> String {
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(text)) => text,
        _ => String::new(),
    }
}

/// Result of a request over all its attempts, as `--json` prints it.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Answer {
    pub number: u32,
    #[serde(flatten)]
    pub end: RequestEnd,
    pub idempotency_key: String,
    /// Entry that reported the outcome, or whose connection broke; `None` if no entry was reached.
    pub entry: Option<SocketAddr>,
    /// Attempts to send the request, including those that failed to connect.
    pub attempts: u32,
    pub prompt_tokens: u64,
    pub first_text_ms: Option<u64>,
    pub total_ms: u64,
    pub text: String,
}

impl Answer {
    pub fn exit(&self) -> Exit {
        match self.end.outcome {
            OutcomeKind::Completed => Exit::Completed,
            OutcomeKind::NotRun if self.end.reason == NO_ENTRY => Exit::NoEntry,
            OutcomeKind::NotRun => Exit::NotRun,
            OutcomeKind::Unknown => Exit::Unknown,
        }
    }
}
