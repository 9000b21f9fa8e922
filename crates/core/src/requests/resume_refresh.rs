use {
    crate::{
        fleet::{Members, TargetState, Targets},
        time::MonoMs,
    },
    whinlatch_wire::ids::TargetName,
};

/// Time after which a refresh stops waiting for targets and peers that don't answer, in ms.
const REFRESH_TIMEOUT_MS: u64 = 1_000;

/// Refresh of this daemon's view after a pause of the process.
///
/// Guards against a process that its host paused and that resumes with stale state: it would send work
/// to targets that have left in the meantime. The pause shows as a gap between events. No queued
/// request is dispatched until each target has answered a read sent after the process resumed, and a
/// peer has sent a message; targets that haven't answered by then get no requests until
/// they report again.
#[derive(Debug, Clone, Copy)]
pub struct ResumeRefresh {
    since: MonoMs,
}

impl ResumeRefresh {
    /// Starts a refresh at the moment when the process resumed.
    pub fn new(now: MonoMs) -> Self {
        Self { since: now }
    }

    /// Returns the time when the process resumed.
    pub fn since(self) -> MonoMs {
        self.since
    }

    /// Returns whether the view is up to date again, or the refresh has timed out.
    pub fn is_over(self, now: MonoMs, targets: &Targets, members: &Members) -> bool {
        let answered = targets.iter().all(|(_, state)| self.has_answered(state));
        (answered && self.has_peer_contact(members)) || now.since(self.since) >= REFRESH_TIMEOUT_MS
    }

    /// Returns the targets that haven't reported since the process resumed.
    pub fn silent_targets(self, targets: &Targets) -> Vec<TargetName> {
        targets
            .iter()
            .filter(|(_, state)| state.reported_at < self.since)
            .map(|(target, _)| target.clone())
            .collect()
    }

    /// Returns whether the target has answered, or failed to answer, a read sent since the process resumed.
    fn has_answered(self, state: &TargetState) -> bool {
        let is_requested = state
            .report_requested_at
            .is_some_and(|requested_at| requested_at >= self.since);
        is_requested && (state.reported_at >= self.since || state.missed_reports > 0)
    }

    /// Returns whether a linked peer has sent a message since the process resumed, or none is linked.
    fn has_peer_contact(self, members: &Members) -> bool {
        let mut linked = members.iter().filter(|member| member.linked).peekable();
        linked.peek().is_none() || linked.any(|member| member.last_seen_at >= self.since)
    }
}
