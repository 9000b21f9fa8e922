use {
    crate::ids::{RequestId, Ticket},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// The whole answer was passed on.
    Completed,
    /// No target ran the request and none will.
    NotRun,
    /// A target may have run the request.
    Unknown,
}

impl OutcomeKind {
    /// The kind as it stands in headers and logs.
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

/// Why a request ended as it did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The target's end mark was seen.
    Done,
    /// The request is malformed.
    BadRequest,
    /// Body or headers are over the limit.
    TooLarge,
    /// The account is not known or the key is wrong.
    Unauthorized,
    /// No record lets this account and caller use the model or service.
    NotAllowed,
    /// No record names the model or service.
    UnknownModel,
    /// The deadline header is missing, not a number, or out of bounds.
    BadDeadline,
    /// The daemon holds no records yet.
    NoRecords,
    /// The request may not be repeated and carried no ticket.
    TicketNeeded,
    /// The ticket's home no longer knows what became of the request.
    TicketLost,
    /// No live target serves what was asked for.
    NoTarget,
    /// The prompt is longer than all engines together hold.
    PromptTooLong,
    /// The answer can't be there by the deadline.
    DeadlineUnreachable,
    /// The account has used up its share.
    AccountLimit,
    /// The fleet has no room.
    FleetFull,
    /// The daemon is about to leave; use another entry.
    Leaving,
    /// The deadline passed.
    DeadlineReached,
    /// The target died or broke off.
    TargetLost,
    /// The target sent nothing for too long.
    TargetSilent,
    /// The target answered with a failure of its own.
    TargetFailed,
    /// The request brought down targets and is refused.
    Poison,
    /// The caller went away.
    CallerGone,
    /// The daemon was paused and dropped what it had queued.
    Paused,
}

impl Reason {
    /// HTTP status of an answer that was refused before its first byte.
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

/// The typed end of each answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// How it ended.
    pub outcome: OutcomeKind,
    /// Why.
    pub reason: Reason,
    /// What happened and what to do, in a sentence.
    pub message: String,
    /// When asking again makes sense, in ms from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The ticket to send with a non-repeatable request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<Ticket>,
}
