//! Requests in flight, their attempts, and the tickets of requests that may run only once.

mod attempt_end;
mod crashed_targets;
mod holdings;
mod issued_keys;
mod poison_book;
mod refresh;
mod request;
mod request_table;
mod retry_budget;
mod ticket_book;

pub use {
    attempt_end::AttemptEnd,
    holdings::{Fault, HoldingWatch, is_overdue},
    poison_book::{Fate, PoisonBook, Standing},
    refresh::Refresh,
    request::{Flight, Phase, Request},
    request_table::RequestTable,
    retry_budget::RetryBudget,
    ticket_book::{Claim, NoTicket, TicketBook},
};
use {
    crashed_targets::CrashedTargets,
    issued_keys::{IssuedKeys, KeyUse},
};
