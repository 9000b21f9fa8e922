/// Header with the name of the client account. Required.
pub const ACCOUNT_HEADER: &str = "whinlatch-account";
/// Header with the name of the caller, for accounts that list their callers.
pub const CALLER_HEADER: &str = "whinlatch-caller";
/// Header with the time allowed for the request, in whole milliseconds. Required.
pub const DEADLINE_HEADER: &str = "whinlatch-deadline-ms";
/// Header with a key chosen by the caller. A request that repeats a key gets the same ticket for as
/// long as the daemon that issued the ticket runs.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the ticket of a non-repeatable request, as received in the 428 response.
pub const TICKET_HEADER: &str = "whinlatch-ticket";
/// Header with the incarnation of the daemon that forwarded the request to the daemon that issued
/// its ticket.
pub const FORWARDED_HEADER: &str = "whinlatch-forwarded-by";
/// Header with the id of the request, as in logs and `GET /v1/decisions/{request}`.
pub const REQUEST_HEADER: &str = "whinlatch-request";
/// Header with the [`OutcomeKind`](super::OutcomeKind) of a response that is not streamed.
pub const OUTCOME_HEADER: &str = "whinlatch-outcome";
/// Header with the [`Reason`](super::Reason) of a response that is not streamed.
pub const REASON_HEADER: &str = "whinlatch-reason";

/// Path of the list of entries that a caller may use.
pub const ENTRIES_PATH: &str = "/v1/entries";
/// Path that accepts prompts.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Prefix of the paths that accept calls to plain services; the service's name follows.
pub const SERVICES_PREFIX: &str = "/v1/services/";
/// Path of the daemon's [`StatusReport`](crate::report::StatusReport).
pub const STATUS_PATH: &str = "/v1/status";
/// Path of the daemon's [`RecordsReport`](crate::report::RecordsReport).
pub const RECORDS_REPORT_PATH: &str = "/v1/records";
/// Prefix of the paths that explain decisions; the id of a request follows.
pub const DECISIONS_PREFIX: &str = "/v1/decisions/";
/// Path of the daemon's metrics.
pub const METRICS_PATH: &str = "/metrics";
