use {
    crate::errors::Exit,
    serde::Serialize,
    std::net::SocketAddr,
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::{RequestId, Ticket},
    },
};

/// Reason of an answer that no entry gave.
pub(super) const NO_ENTRY: &str = "no_entry";
/// Reason of an answer whose connection broke.
pub(super) const CONNECTION_LOST: &str = "connection_lost";
/// Reason of an answer that isn't whinlatch's.
pub(super) const BAD_ANSWER: &str = "bad_answer";

/// How an entry ended a request.
#[derive(Debug, Clone, Serialize)]
pub(super) struct End {
    pub outcome: OutcomeKind,
    pub reason: String,
    pub message: String,
    pub request: Option<RequestId>,
    pub retry_after_ms: Option<u64>,
    pub ticket: Option<Ticket>,
}

impl From<Outcome> for End {
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

impl End {
    /// An end that no entry stated.
    pub fn own(outcome: OutcomeKind, reason: &str, message: &str) -> Self {
        Self {
            outcome,
            reason: reason.to_owned(),
            message: message.to_owned(),
            request: None,
            retry_after_ms: None,
            ticket: None,
        }
    }

    /// Whether the ticket that came with it is to be sent along.
    pub fn asks_for_ticket(&self) -> bool {
        self.ticket.is_some() && self.reason == reason_text(Reason::TicketNeeded)
    }

    /// Whether the request was not run for a reason of this one entry, so that another may take it.
    pub fn is_for_another_entry(&self) -> bool {
        const OF_THE_ENTRY: [Reason; 3] = [Reason::Leaving, Reason::Paused, Reason::NoRecords];
        self.outcome == OutcomeKind::NotRun
            && OF_THE_ENTRY
                .iter()
                .any(|reason| self.reason == reason_text(*reason))
    }
}

/// The reason as it stands in JSON.
pub(super) fn reason_text(reason: Reason) -> String {
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(text)) => text,
        _ => String::new(),
    }
}

/// What came of a request.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Answer {
    pub number: u32,
    #[serde(flatten)]
    pub end: End,
    pub idempotency_key: String,
    /// The entry that ended it.
    pub entry: Option<SocketAddr>,
    /// Entries that it was sent to, or tried to.
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
