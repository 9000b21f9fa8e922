use {
    crate::{
        fleet::{Members, TargetState, Targets},
        time::MonoMs,
    },
    whinlatch_wire::ids::TargetName,
};

/// Longest time that a refresh waits for targets and peers that don't answer, in ms.
const LONGEST_MS: u64 = 1_000;

/// A view that went stale in a pause of the process, until it is fresh again.
///
/// Guards against a process that was frozen and wakes up acting on what it knew before: it would
/// send work to targets that have left meanwhile. It shows as a gap between events. Nothing queued
/// is dispatched until each target has answered a read asked for after the wake, and a peer was
/// heard from; then what didn't answer is held to be gone.
#[derive(Debug, Clone, Copy)]
pub struct Refresh {
    since: MonoMs,
}

impl Refresh {
    /// Begins at the wake.
    pub fn new(now: MonoMs) -> Self {
        Self { since: now }
    }

    /// When the process woke.
    pub fn since(self) -> MonoMs {
        self.since
    }

    /// Whether the view is fresh again.
    pub fn is_over(self, now: MonoMs, targets: &Targets, members: &Members) -> bool {
        let heard = targets.iter().all(|(_, state)| self.heard_from(state));
        (heard && self.heard_a_peer(members)) || now.since(self.since) >= LONGEST_MS
    }

    /// Targets that didn't answer since the wake.
    pub fn unheard(self, targets: &Targets) -> Vec<TargetName> {
        targets
            .iter()
            .filter(|(_, state)| state.reported_at < self.since)
            .map(|(target, _)| target.clone())
            .collect()
    }

    fn heard_from(self, state: &TargetState) -> bool {
        let asked = state
            .report_requested_at
            .is_some_and(|asked| asked >= self.since);
        asked && (state.reported_at >= self.since || state.missed_reports > 0)
    }

    fn heard_a_peer(self, members: &Members) -> bool {
        let mut linked = members.iter().filter(|member| member.linked).peekable();
        linked.peek().is_none() || linked.any(|member| member.last_seen_at >= self.since)
    }
}
