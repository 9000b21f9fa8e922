//! The size that the system is designed for, and what a daemon may spend on control.

/// Entry daemons.
pub const DAEMONS: usize = 350;
/// Workers, each one target.
pub const TARGETS: usize = 600;
/// Client accounts.
pub const ACCOUNTS: usize = 38_000;
/// Models in steady use.
pub const MODELS: usize = 7;
/// Regions.
pub const REGIONS: usize = 2;
/// Failure domains over all regions.
pub const FAILURE_DOMAINS: usize = 6;
/// Requests a second at the peak.
pub const REQUESTS_PER_S: f64 = 2_200.0;
/// Tokens generated a second at the peak.
pub const TOKENS_PER_S: f64 = 1_000_000.0;
/// Time between tokens of one answer, in ms.
pub const TOKEN_EVERY_MS: f64 = 78.0;
/// Changes of records a day.
pub const CHANGES_PER_DAY: f64 = 2_500.0;
/// Daemons and targets that start or are replaced in a day.
pub const RESTARTS_PER_DAY: usize = 150;
/// Time within which a change is in force everywhere, in ms.
pub const IN_FORCE_MS: u64 = 8_000;
/// Reads that the platform answers in a second, all readers together.
pub const PLATFORM_READS_PER_S: u64 = 2_000;
/// Processor time for control that a daemon may use in a second, in ms: 4.9% of a core.
pub const BUDGET_CPU_MS_PER_S: f64 = 49.0;
/// Memory for control that a daemon may use, in bytes.
pub const BUDGET_MEMORY_BYTES: f64 = 64.0 * 1_048_576.0;
/// Bytes for control that a daemon may send in a second.
pub const BUDGET_BYTES_PER_S: f64 = 15_000.0;

/// Streams open at once at the peak, all daemons together: what generates the tokens at the
/// slowest pace that is allowed.
pub fn open_streams() -> f64 {
    TOKENS_PER_S * TOKEN_EVERY_MS / 1_000.0
}
