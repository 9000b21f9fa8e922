//! The end of this daemon: take nothing new, finish what is in flight. Peers hear of it with the
//! news of members.

use {
    super::Core,
    crate::{action::Action, decisions::Subsystem, time::MonoMs},
    whinlatch_wire::{caller::Reason, ids::RequestId},
};

impl Core {
    pub(super) fn on_stop(&mut self, now: MonoMs) {
        if self.leaving_since.is_some() {
            return;
        }
        self.leaving_since = Some(now);
        self.decide(
            now,
            Subsystem::Fleet,
            None,
            "this daemon is leaving".to_owned(),
        );
    }

    /// Whether new work is refused: callers have had the time to drop this daemon's address.
    pub(super) fn refuses_new(&self, now: MonoMs) -> bool {
        let ttl_ms = self.records.in_force().policy().entries_ttl_ms;
        self.leaving_since
            .is_some_and(|since| now.since(since) > ttl_ms)
    }

    pub(super) fn refuse_leaving(&mut self, now: MonoMs, request: RequestId) {
        let message = "this daemon is about to leave: use another entry";
        self.refuse(now, request, Reason::Leaving, message, Some(0));
    }

    /// Ends the daemon, once, when new work is refused and nothing is in flight.
    pub(super) fn stop_if_idle(&mut self, now: MonoMs) {
        if self.stopped || !self.refuses_new(now) || !self.requests.is_empty() {
            return;
        }
        self.stopped = true;
        self.act(Action::Stopped);
    }
}
