use {
    crate::ids::{AccountName, FailureDomain, Incarnation, InstanceName, TargetName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// News that daemons pass on to each other, each kind in its list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct News {
    /// Daemons.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberNews>,
    /// Targets that leave, died or came.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<TargetNews>,
    /// Work sent to targets.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<TargetLoad>,
    /// Use of the fleet by accounts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<AccountUse>,
    /// Requests that bring down targets.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub poison: Vec<PoisonNews>,
}

impl News {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
            && self.targets.is_empty()
            && self.loads.is_empty()
            && self.accounts.is_empty()
            && self.poison.is_empty()
    }
}

/// What a daemon is held to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Alive.
    Alive,
    /// Silent; dead unless it says otherwise.
    Suspect,
    /// About to leave; takes nothing new.
    Leaving,
    /// Dead. An incarnation never comes back from this.
    Dead,
}

/// A daemon's state. Of two about one incarnation the higher `version` wins, then the later state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberNews {
    /// The run of the daemon.
    pub incarnation: Incarnation,
    /// The instance it runs on.
    pub instance: InstanceName,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Its address for peers.
    pub peer_address: SocketAddr,
    /// Raised only by the daemon itself, to contradict a suspicion.
    pub version: u64,
    /// The state.
    pub state: MemberState,
}

/// A daemon's state in few bytes, so that all can be told of all. Travels as an array.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct MemberStamp {
    /// First half of the incarnation.
    pub short: u64,
    /// Version of the newest statement about it.
    pub version: u64,
    /// Grows while the daemon is alive.
    pub beat: u64,
}

impl MemberStamp {
    /// The half of an incarnation that stands for it.
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

/// What a run of a target is held to be. Later values win over earlier ones and never go back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetHealth {
    /// Serves.
    Serving,
    /// About to leave; gets nothing new.
    Leaving,
    /// Gone.
    Gone,
}

/// A target's state as some daemon knows it at first hand.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetNews {
    /// The target.
    pub target: TargetName,
    /// The run that is meant.
    pub incarnation: Incarnation,
    /// Its state.
    pub health: TargetHealth,
}

/// Work that one daemon has at one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The daemon that sent the work.
    pub origin: Incarnation,
    /// Grows with each statement of this origin about this target.
    pub number: u64,
    /// The target.
    pub target: TargetName,
    /// Requests in flight there.
    pub in_flight: u32,
    /// Predicted prefill time still to be done there, in ms.
    pub prefill_left_ms: u64,
    /// The part of it that is of long prompts, in ms.
    #[serde(default)]
    pub long_left_ms: u64,
    /// Time of long prompts that wait for their turn there and are not counted above, in ms.
    #[serde(default)]
    pub claimed_ms: u64,
    /// How long the first of them has waited, in ms.
    #[serde(default)]
    pub claim_age_ms: u64,
}

/// What a client account used at one daemon of late.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountUse {
    /// The daemon that states it.
    pub origin: Incarnation,
    /// Grows with each statement of this origin about this account.
    pub number: u64,
    /// The account.
    pub account: AccountName,
    /// Requests a second that were asked for, admitted or not.
    pub requests_per_s: f64,
    /// Prompt tokens a second that were asked for, admitted or not.
    pub tokens_per_s: f64,
}

/// A request that brought down targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonNews {
    /// Hash of account, path and body.
    pub fingerprint: u64,
    /// Runs of targets that died while they ran it alone or as a suspect among others.
    pub deaths: Vec<Incarnation>,
    /// How much longer this is remembered, in ms. 0 says that the request completed since, so that
    /// these deaths had another cause.
    pub keep_ms: u64,
    /// Those of `deaths` at which nothing else was in flight.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub alone: Vec<Incarnation>,
}
