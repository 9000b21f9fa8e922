use {
    crate::ids::{FailureDomain, InstanceName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The settings of a daemon, read once at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance that the daemon runs on.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Address at which the daemon accepts requests from callers and operators.
    pub caller_address: SocketAddr,
    /// Address at which the daemon accepts links from other daemons.
    pub peer_address: SocketAddr,
    /// Address of the platform's configuration service.
    pub platform_address: SocketAddr,
    /// Peer addresses of some other daemons, to join the fleet while the platform is unavailable.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Secret shared by all daemons. Peer links from daemons with another key are rejected.
    pub peer_key: String,
    /// Maximum duration of a graceful shutdown, in ms.
    #[serde(default = "default_shutdown_ms")]
    pub shutdown_ms: u64,
    /// Limits on what callers may send.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Format and level of the log.
    #[serde(default)]
    pub log: LogSettings,
}

impl Settings {
    /// Value of `shutdown_ms` if the settings give none, in ms.
    pub const DEFAULT_SHUTDOWN_MS: u64 = 30_000;
}

fn default_shutdown_ms() -> u64 {
    Settings::DEFAULT_SHUTDOWN_MS
}

/// Limits on sizes, connections and times of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum number of open connections from callers.
    pub max_connections: u32,
    /// Time within which a caller must have sent a request, head and body, in ms.
    pub read_timeout_ms: u64,
    /// Time within which a caller must accept each piece of an answer, in ms.
    pub write_timeout_ms: u64,
    /// Time without data from a target after which it is probed over a new connection, in ms.
    pub target_silence_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 16 * 1_048_576,
            max_header_bytes: 8_000,
            max_connections: 2_000,
            read_timeout_ms: 10_000,
            write_timeout_ms: 10_000,
            target_silence_ms: 3_000,
        }
    }
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Readable text, one line per entry.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The lowest severity that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// Also conditions that need attention.
    Warn,
    /// Also decisions.
    #[default]
    Info,
    /// All log lines.
    Debug,
}

/// Settings of the log, which is written to standard output.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Lowest severity that is written.
    pub level: LogLevel,
}
