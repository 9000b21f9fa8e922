use {
    crate::ids::{RequestId, Ticket},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The class of a request's end, by which a caller decides whether repeating it is safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// The complete answer was delivered.
    Completed,
    /// No target ran the request and none will.
    NotRun,
    /// A target may have run the request, entirely or in part.
    Unknown,
}

impl OutcomeKind {
    /// Returns the name used in headers, logs and serialized outcomes.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for OutcomeKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// The cause of a request's outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The target sent its complete answer.
    Done,
    /// The request is malformed.
    BadRequest,
    /// The body or the headers exceed their size limit.
    TooLarge,
    /// The account is unknown or the key is wrong.
    Unauthorized,
    /// No record allows this account and caller to use the model or service.
    NotAllowed,
    /// No record defines the model or service.
    UnknownModel,
    /// The deadline header is missing, not a number, or out of range.
    BadDeadline,
    /// The daemon has not received any records yet.
    NoRecords,
    /// The request must not run twice and carried no ticket.
    TicketNeeded,
    /// The daemon that issued the ticket no longer knows whether the request ran.
    TicketLost,
    /// No live target serves the requested model or service.
    NoTarget,
    /// The prompt exceeds the memory of all engines together.
    PromptTooLong,
    /// The answer is predicted to miss the deadline.
    DeadlineUnreachable,
    /// The account has used up its quota.
    AccountLimit,
    /// The fleet has no free capacity.
    FleetFull,
    /// The daemon is shutting down; use another entry.
    Leaving,
    /// The deadline passed before the request ended.
    DeadlineReached,
    /// The target died or closed the connection before the end of its answer.
    TargetLost,
    /// The target sent nothing for longer than allowed.
    TargetSilent,
    /// The target returned an error.
    TargetFailed,
    /// The request is refused because targets crashed while running it.
    Poison,
    /// The caller closed its connection.
    CallerGone,
    /// The daemon's process was paused and its queued requests were dropped.
    Paused,
}

impl Reason {
    /// Returns the HTTP status of a response that ends with this reason before any of its body was
    /// sent.
    pub fn http_status(self) -> u16 {
        match self {
            Self::Done => 200,
            Self::BadRequest | Self::BadDeadline => 400,
            Self::Unauthorized => 401,
            Self::NotAllowed => 403,
            Self::UnknownModel => 404,
            Self::TooLarge | Self::PromptTooLong => 413,
            Self::Poison => 422,
            Self::TicketNeeded => 428,
            Self::AccountLimit => 429,
            Self::TicketLost | Self::TargetLost | Self::TargetFailed => 502,
            Self::NoRecords
            | Self::NoTarget
            | Self::DeadlineUnreachable
            | Self::FleetFull
            | Self::Leaving
            | Self::CallerGone
            | Self::Paused => 503,
            Self::DeadlineReached | Self::TargetSilent => 504,
        }
    }
}

/// The result of a request, sent at the end of each response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Id of the request that ended.
    pub request: RequestId,
    /// Whether it completed, did not run, or may have run.
    pub outcome: OutcomeKind,
    /// Cause of the outcome.
    pub reason: Reason,
    /// One sentence for people: what happened and what to do.
    pub message: String,
    /// Time after which a retry makes sense, in ms from now; absent if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Ticket to send with a non-repeatable request; set with [`Reason::TicketNeeded`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<Ticket>,
}
