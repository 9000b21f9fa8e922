/// Names the client account. Required.
pub const ACCOUNT_HEADER: &str = "whinlatch-account";
/// Names the caller within the account, where the account lists its callers.
pub const CALLER_HEADER: &str = "whinlatch-caller";
/// Time that the caller gives the request, in whole milliseconds. Required.
pub const DEADLINE_HEADER: &str = "whinlatch-deadline-ms";
/// The same key asked for again gets the same ticket while its home lives.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The ticket of a non-repeatable request, as the 428 answer gave it.
pub const TICKET_HEADER: &str = "whinlatch-ticket";
/// Incarnation of the daemon that passed the request on to the ticket's home.
pub const FORWARDED_HEADER: &str = "whinlatch-forwarded-by";
/// Identifies the request in answers, logs and `GET /v1/decisions/{request}`.
pub const REQUEST_HEADER: &str = "whinlatch-request";
/// The outcome of an answer that is not streamed.
pub const OUTCOME_HEADER: &str = "whinlatch-outcome";
/// The reason of an answer that is not streamed.
pub const REASON_HEADER: &str = "whinlatch-reason";

/// Path that tells which addresses to use.
pub const ENTRIES_PATH: &str = "/v1/entries";
/// Path for prompts.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Prefix of the paths of plain services.
pub const SERVICES_PREFIX: &str = "/v1/services/";
/// Path of the state of a daemon.
pub const STATUS_PATH: &str = "/v1/status";
/// Path of the records and where they are in force.
pub const RECORDS_REPORT_PATH: &str = "/v1/records";
/// Prefix of the paths that explain the decisions about a request.
pub const DECISIONS_PREFIX: &str = "/v1/decisions/";
/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
