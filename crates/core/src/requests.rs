//! Requests in flight, their attempts, and the tickets of requests that may run only once.

mod attempt_end;
mod crashed_targets;
mod issued_keys;
mod leak_detector;
mod poison_tracker;
mod request;
mod request_table;
mod resume_refresh;
mod retry_budget;
mod ticket_table;

pub use {
    attempt_end::AttemptEnd,
    leak_detector::{LeakCause, LeakDetector, is_overdue},
    poison_tracker::{PoisonTracker, RunStatus, Suspicion},
    request::{InFlightAttempt, Phase, Request},
    request_table::RequestTable,
    resume_refresh::ResumeRefresh,
    retry_budget::RetryBudget,
    ticket_table::{TicketClaim, TicketError, TicketTable},
};
use {
    crashed_targets::CrashedTargets,
    issued_keys::{IssuedKeys, KeyUse},
};
