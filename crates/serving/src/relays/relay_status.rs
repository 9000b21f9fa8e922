use serde::{Deserialize, Serialize};

/// Knowledge of what is published: how far an instance has read the store.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct KnownState {
    /// Store revision up to which all changes are known, 0 if nothing is known.
    pub revision: u64,
    /// Version of the active configuration.
    pub version: u64,
}

impl KnownState {
    /// Returns whether this state includes everything that the other one does.
    pub fn covers(&self, other: &Self) -> bool {
        self.revision >= other.revision && self.version >= other.version
    }
}

/// Request that a follower sends to a relay with each heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// State that the follower has.
    pub known: KnownState,
    /// Whether it requests each change as it comes; otherwise it gets only what its heartbeats show that it
    /// lacks.
    #[serde(rename = "wants_changes")]
    pub requests_changes: bool,
}

/// Status that a relay sends to its followers whenever the store has answered it, in one frame with the
/// changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayStatus {
    /// State that the relay has.
    pub known: KnownState,
    /// Time since the store confirmed this to the relay, in ms.
    pub age_ms: u64,
    /// Revision after which the frame has all changes; `None` if the frame has all targets instead.
    pub since: Option<u64>,
    /// Whether the store has left the relay without answers for some time.
    #[serde(rename = "is_cut_off")]
    pub is_store_lost: bool,
    /// Whether all removals up to the known revision are those of targets that have left, and none is that of an entry
    /// which expired in an outage of the store.
    #[serde(rename = "settled", default)]
    pub is_settled: bool,
    /// Whether it covers evacuations too; false for relays of former builds, which don't read them.
    #[serde(rename = "evac", default)]
    pub covers_evacuations: bool,
}
