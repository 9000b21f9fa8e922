use {
    crate::{
        ids::{FailureDomain, Incarnation, InstanceName, Revision, TargetName},
        peer::{MemberState, TargetHealth},
    },
    serde::{Deserialize, Serialize},
};

/// Response of `GET /v1/status`: the state of a daemon and its view of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Instance that wrote the report.
    pub instance: InstanceName,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Time since the daemon started, in ms.
    pub uptime_ms: u64,
    /// Whether the daemon is shutting down.
    pub leaving: bool,
    /// Number of requests in flight at this daemon.
    pub requests_in_flight: u64,
    /// Connection to the platform.
    pub platform: PlatformStatus,
    /// Highest revision of the stored records.
    pub newest_revision: Revision,
    /// The other daemons that this one knows.
    pub peers: Vec<PeerStatus>,
    /// The targets that this daemon knows.
    pub targets: Vec<TargetStatus>,
}

/// The state of a daemon's connection to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// Whether the platform answered the last read.
    pub reachable: bool,
    /// Number of reads since the daemon started.
    pub reads: u64,
    /// Time since the platform's last answer, in ms; absent before the first.
    pub last_answer_ms: Option<u64>,
}

/// Another daemon as the reporting one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Instance that the peer runs on.
    pub instance: InstanceName,
    /// Incarnation of the peer.
    pub incarnation: Incarnation,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Membership state of the peer.
    pub state: MemberState,
    /// Whether a peer link to it is open.
    pub linked: bool,
}

/// A target as the reporting daemon sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub target: TargetName,
    /// Incarnation of the target, if known.
    pub incarnation: Option<Incarnation>,
    /// State of the target.
    pub health: TargetHealth,
    /// Number of this daemon's requests in flight at the target.
    pub in_flight: u32,
    /// Predicted time until the target has finished its queued work, in ms.
    pub backlog_ms: u64,
    /// Measured prefill rate, in tokens per second; 0 for plain services.
    pub prefill_tokens_per_s: f64,
}
