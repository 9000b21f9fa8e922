use {
    crate::ids::{AccountName, FailureDomain, Incarnation, InstanceName, TargetName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// State changes that spread from daemon to daemon, one list for each kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct News {
    /// States of daemons.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberNews>,
    /// Runs of targets that started, are leaving or are gone.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<TargetNews>,
    /// Work that daemons have in flight or queued at targets.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<TargetLoad>,
    /// Recent use of the fleet by client accounts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<AccountUse>,
    /// Requests that are suspected or known to crash targets.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub poison: Vec<PoisonNews>,
}

impl News {
    /// Returns whether all lists are empty.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
            && self.targets.is_empty()
            && self.loads.is_empty()
            && self.accounts.is_empty()
            && self.poison.is_empty()
    }
}

/// Membership state of a daemon. The order of the variants matters: of two statements with the
/// same version the later state wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Considered alive.
    Alive,
    /// Silent. Becomes [`MemberState::Dead`] unless the daemon refutes it with a higher version.
    Suspect,
    /// Shutting down; accepts no new work.
    Leaving,
    /// Considered dead. Final for this incarnation.
    Dead,
}

/// The state of one daemon. Of two statements about the same incarnation the one with the higher
/// `version` wins, then the one with the later state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberNews {
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Instance that the daemon runs on.
    pub instance: InstanceName,
    /// Failure domain of that instance.
    pub failure_domain: FailureDomain,
    /// Address at which it accepts requests from callers.
    pub caller_address: SocketAddr,
    /// Address at which it accepts peer links.
    pub peer_address: SocketAddr,
    /// Version of the statement. Only the daemon itself raises it, to refute a suspicion.
    pub version: u64,
    /// State that the statement asserts.
    pub state: MemberState,
}

/// A compact form of a daemon's state, so that a frame can list all daemons. Encoded as an array,
/// without field names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct MemberStamp {
    /// Upper 64 bits of the daemon's incarnation.
    pub short: u64,
    /// Version of the newest [`MemberNews`] about the daemon that the sender knows.
    pub version: u64,
    /// Counter that the daemon itself raises while it is alive; a higher value shows that it is
    /// alive, even if another daemon passes it on.
    pub beat: u64,
}

impl MemberStamp {
    /// Returns the upper 64 bits of an incarnation, which identify it in a stamp.
    pub fn short_of(incarnation: Incarnation) -> u64 {
        (incarnation.0 >> 64) as u64
    }
}

impl From<(u64, u64, u64)> for MemberStamp {
    fn from((short, version, beat): (u64, u64, u64)) -> Self {
        Self {
            short,
            version,
            beat,
        }
    }
}

impl From<MemberStamp> for (u64, u64, u64) {
    fn from(stamp: MemberStamp) -> Self {
        (stamp.short, stamp.version, stamp.beat)
    }
}

/// State of one run of a target. The order of the variants matters: a later state replaces an
/// earlier one and never changes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetHealth {
    /// Accepts work.
    Serving,
    /// Shutting down; gets no new work.
    Leaving,
    /// Stopped or crashed. Final for this incarnation.
    Gone,
}

/// The state of a target, as stated by a daemon that did not learn it from a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetNews {
    /// Name of the target.
    pub target: TargetName,
    /// Run of the target to which the state applies.
    pub incarnation: Incarnation,
    /// State of that run.
    pub health: TargetHealth,
}

/// The work that one daemon has at one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Daemon that sent the work.
    pub origin: Incarnation,
    /// Sequence number of the statement; grows per origin and target, the highest wins.
    pub number: u64,
    /// Target that the work was sent to.
    pub target: TargetName,
    /// Number of this daemon's requests in flight at the target.
    pub in_flight: u32,
    /// Predicted prefill time that remains there for medium and long prompts, in ms.
    pub prefill_left_ms: u64,
    /// Part of `prefill_left_ms` that belongs to long prompts, in ms.
    #[serde(default)]
    pub long_left_ms: u64,
    /// Time for which the target helps other targets with the prefill of long prompts, in ms. Not
    /// included in `prefill_left_ms`.
    #[serde(default)]
    pub helping_ms: u64,
    /// Predicted prefill time of long prompts that are queued for the target but not yet sent, in
    /// ms. Not included in `prefill_left_ms`.
    #[serde(default)]
    pub claimed_ms: u64,
    /// Waiting time of the oldest of these queued prompts, in ms; 0 if there is none.
    #[serde(default)]
    pub claim_age_ms: u64,
}

/// The recent use of the fleet by one client account at one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountUse {
    /// Daemon that measured the use.
    pub origin: Incarnation,
    /// Sequence number of the statement; grows per origin and account, the highest wins.
    pub number: u64,
    /// Client account that the figures belong to.
    pub account: AccountName,
    /// Requests received per second, admitted or not.
    pub requests_per_s: f64,
    /// Prompt tokens received per second, admitted or not.
    pub tokens_per_s: f64,
}

/// Deaths of targets that are attributed to one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonNews {
    /// Hash of the request's account, path and body.
    pub fingerprint: u64,
    /// Runs of targets that died while the request was in flight there: as the only request, or
    /// beside others if it was a suspect already.
    pub deaths: Vec<Incarnation>,
    /// Remaining time for which the deaths are remembered, in ms. 0 means that the request has
    /// since completed, so that these deaths had another cause.
    pub keep_ms: u64,
    /// Subset of `deaths` at which no other request was in flight.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub alone: Vec<Incarnation>,
}
