use {
    crate::names::{FailureDomain, ServiceName, TargetId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Stands between the name of a target and the start of its run.
const START_MARK: char = '#';

/// What a target says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It is about to leave and gets nothing new.
    Draining,
}

/// A published target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// This run of it, as [`Self::run_id`] has it.
    pub id: TargetId,
    /// When this run began, in Unix ms, if it says so.
    #[serde(default)]
    pub started_at_ms: Option<u64>,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it listens. The address may belong to another target later.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: TargetState,
}

impl TargetEntry {
    /// Name of a run of a target that is published under `name`.
    ///
    /// Guards against a target that starts again under its old name: prompts, memory and crashes of
    /// the run before would count as those of the new one, which knows of none of them.
    ///
    /// Different runs have different names, whatever somebody else writes below the targets' prefix: a
    /// name that has the mark itself, and no start, ends in one.
    pub fn run_id(name: &str, started_at_ms: Option<u64>) -> TargetId {
        match started_at_ms {
            Some(started_at_ms) => format!("{name}{START_MARK}{started_at_ms}").into(),
            None if name.contains(START_MARK) => format!("{name}{START_MARK}").into(),
            None => name.into(),
        }
    }

    /// Name under which it is published, and which it knows itself by.
    pub fn name(&self) -> &str {
        match self.id.rsplit_once(START_MARK) {
            Some((name, _start)) => name,
            None => &self.id,
        }
    }

    /// Whether another entry is of a later run than this one, as far as both say when they began.
    pub fn is_before(&self, other: &Self) -> bool {
        match (self.started_at_ms, other.started_at_ms) {
            (Some(own), Some(others)) => own < others,
            _ => false,
        }
    }
}
