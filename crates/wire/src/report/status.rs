use {
    crate::{
        ids::{FailureDomain, Incarnation, InstanceName, Revision, TargetName},
        peer::{MemberState, TargetHealth},
    },
    serde::{Deserialize, Serialize},
};

/// Answer of `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Instance that answers.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Time since its start, in ms.
    pub uptime_ms: u64,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Requests in flight.
    pub requests_in_flight: u64,
    /// The platform as seen from here.
    pub platform: PlatformStatus,
    /// Highest revision of the records held.
    pub newest_revision: Revision,
    /// Other daemons.
    pub peers: Vec<PeerStatus>,
    /// Targets.
    pub targets: Vec<TargetStatus>,
}

/// The platform as seen from one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// Whether the last read was answered.
    pub reachable: bool,
    /// Reads so far.
    pub reads: u64,
    /// Since the last answer, in ms; absent before the first.
    pub last_answer_ms: Option<u64>,
}

/// Another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its instance.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// What it is held to be.
    pub state: MemberState,
    /// Whether a link to it is open.
    pub linked: bool,
}

/// A target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Its name.
    pub target: TargetName,
    /// Its run, if known.
    pub incarnation: Option<Incarnation>,
    /// What it is held to be.
    pub health: TargetHealth,
    /// Requests of this daemon in flight there.
    pub in_flight: u32,
    /// Predicted time to work off what waits there, in ms.
    pub backlog_ms: u64,
    /// Learnt prefill rate, in tokens a second; 0 for plain services.
    pub prefill_tokens_per_s: f64,
}
