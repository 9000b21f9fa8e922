//! Size of the deployment that the system is designed for, and a daemon's budgets for control.

/// Entry daemons.
pub const DAEMONS: usize = 350;
/// Workers, each of them one target.
pub const TARGETS: usize = 600;
/// Client accounts.
pub const ACCOUNTS: usize = 38_000;
/// Models in constant use.
pub const MODELS: usize = 7;
/// Regions among which the daemons are divided evenly.
pub const REGIONS: usize = 2;
/// Failure domains in all regions together.
pub const FAILURE_DOMAINS: usize = 6;
/// Peak rate of requests, per second.
pub const REQUESTS_PER_S: f64 = 2_200.0;
/// Peak rate of generated tokens, per second.
pub const TOKENS_PER_S: f64 = 1_000_000.0;
/// Maximum time between the tokens of an answer, in ms.
pub const TOKEN_INTERVAL_MS: f64 = 78.0;
/// Changes of records per day.
pub const CHANGES_PER_DAY: f64 = 2_500.0;
/// Daemons and targets that start or are replaced per day.
pub const RESTARTS_PER_DAY: usize = 150;
/// Time within which a change must reach every daemon, in ms.
pub const PROPAGATION_LIMIT_MS: u64 = 8_000;
/// Reads that the platform answers per second, for all readers together.
pub const PLATFORM_READS_PER_S: u64 = 2_000;
/// CPU time budget of a daemon for control, in ms per second: 4.9% of a core.
pub const BUDGET_CPU_MS_PER_S: f64 = 49.0;
/// Memory budget of a daemon for control, in bytes.
pub const BUDGET_MEMORY_BYTES: f64 = 64.0 * 1_048_576.0;
/// Bandwidth budget of a daemon for control, in bytes sent per second.
pub const BUDGET_BYTES_PER_S: f64 = 15_000.0;

/// Returns the peak number of open streams of all daemons together: those that generate `TOKENS_PER_S` at
/// the slowest pace allowed.
pub fn open_streams() -> f64 {
    TOKENS_PER_S * TOKEN_INTERVAL_MS / 1_000.0
}
