use serde::{Deserialize, Serialize};

/// How far an instance's knowledge of what is published goes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Extent {
    /// Revision of the store up to which it knows all, 0 if it knows nothing.
    pub revision: u64,
    /// Version of the configuration that it has in force.
    pub version: u64,
}

impl Extent {
    /// Whether nothing of another one is missing in this one.
    pub fn covers(&self, other: &Self) -> bool {
        self.revision >= other.revision && self.version >= other.version
    }
}

/// What an instance asks of a relay, with each heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follow {
    /// What it knows.
    pub known: Extent,
    /// Whether it wants each change as it comes; else only what it is found to lack.
    pub wants_changes: bool,
}

/// What a relay says of its knowledge, whenever the store has answered it. The changes themselves
/// are in the same frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// What the relay knows.
    pub known: Extent,
    /// Time since the store told it so, in ms.
    pub age_ms: u64,
    /// Revision after which the frame has all changes; `None` if it has all targets instead.
    pub since: Option<u64>,
    /// Whether the store doesn't answer the relay.
    pub is_cut_off: bool,
}
