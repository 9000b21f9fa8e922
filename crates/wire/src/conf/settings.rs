use {
    crate::ids::{FailureDomain, InstanceName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Settings of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Address for callers and operators.
    pub caller_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Address of the platform's configuration service.
    pub platform_address: SocketAddr,
    /// Peer addresses of some other daemons, for a start while the platform is down.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Key that all daemons share; a daemon without it is turned away.
    pub peer_key: String,
    /// Time a graceful shutdown may take, in ms.
    #[serde(default = "default_shutdown_ms")]
    pub shutdown_ms: u64,
    /// Limits on what callers may send.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

impl Settings {
    /// Time a graceful shutdown may take where the settings state none, in ms.
    pub const DEFAULT_SHUTDOWN_MS: u64 = 30_000;
}

fn default_shutdown_ms() -> u64 {
    Settings::DEFAULT_SHUTDOWN_MS
}

/// Limits on what callers may send and how long they may take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Largest request head, in bytes.
    pub max_header_bytes: u64,
    /// Connections open at once.
    pub max_connections: u32,
    /// Time to send a request, head and body, in ms.
    pub read_timeout_ms: u64,
    /// Time for a caller to take a piece of an answer, in ms.
    pub write_timeout_ms: u64,
    /// Silence after which a target is tried over a new connection, in ms.
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

/// How log lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Least severity that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures.
    Error,
    /// Failures and what needs attention.
    Warn,
    /// Decisions too.
    #[default]
    Info,
    /// Everything.
    Debug,
}

/// Logs go to standard output.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least severity.
    pub level: LogLevel,
}
