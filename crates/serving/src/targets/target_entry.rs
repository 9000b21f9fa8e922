use {
    crate::names::{FailureDomain, ServiceName, TargetId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Separates the name of a target from the start time of its run in a run id.
const START_MARK: char = '#';

/// State that a target publishes for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It is about to leave and gets no new requests.
    Draining,
}

/// A published target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Id of this run, from [`Self::run_id`].
    pub id: TargetId,
    /// Start of this run in Unix ms; `None` if the target doesn't publish it.
    #[serde(default)]
    pub started_at_ms: Option<u64>,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address that the target listens on. Another target may take it over later.
    pub address: SocketAddr,
    /// Failure domain that the target runs in.
    pub failure_domain: FailureDomain,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the target takes requests.
    pub state: TargetState,
    /// Time for which the target stays cold, in ms, counted from when the entry was written; 0 if it is warm.
    #[serde(default)]
    pub cold_remaining_ms: u64,
}

impl TargetEntry {
    /// Returns the id of a run of the target that is published under `name`.
    ///
    /// Guards against a target that restarts under its old name: prompts, memory and crashes of the former
    /// run would be attributed to the new one, which has no state of them.
    ///
    /// Different runs get different ids, whatever other programs write below the targets' prefix: if a name
    /// contains the mark itself and no start is given, the id ends in a mark.
    pub fn run_id(name: &str, started_at_ms: Option<u64>) -> TargetId {
        match started_at_ms {
            Some(started_at_ms) => format!("{name}{START_MARK}{started_at_ms}").into(),
            None if name.contains(START_MARK) => format!("{name}{START_MARK}").into(),
            None => name.into(),
        }
    }

    /// Returns the name under which the target is published and which it uses for itself.
    pub fn name(&self) -> &str {
        match self.id.rsplit_once(START_MARK) {
            Some((name, _start)) => name,
            None => &self.id,
        }
    }

    /// Returns whether this run started before that of another entry; false unless both publish their start.
    pub fn started_before(&self, other: &Self) -> bool {
        match (self.started_at_ms, other.started_at_ms) {
            (Some(own), Some(others)) => own < others,
            _ => false,
        }
    }
}
