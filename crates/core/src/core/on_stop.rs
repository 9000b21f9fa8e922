//! Stop of this daemon: new requests are refused, and those in flight are finished. Peers learn of it from
//! the member news.

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
        self.record_decision(
            now,
            Subsystem::Fleet,
            None,
            "this daemon is leaving".to_owned(),
        );
    }

    /// Returns whether new requests are refused: this daemon is leaving, and callers have had time to drop
    /// its address.
    pub(super) fn refuses_new(&self, now: MonoMs) -> bool {
        let ttl_ms = self.records.in_force().policy().entries_ttl_ms;
        self.leaving_since
            .is_some_and(|since| now.since(since) > ttl_ms)
    }

    pub(super) fn refuse_leaving(&mut self, now: MonoMs, request: RequestId) {
        let message = "this daemon is leaving: use another entry";
        self.refuse(now, request, Reason::Leaving, message, Some(0));
    }

    /// Stops the daemon once new requests are refused and none is in flight.
    pub(super) fn stop_if_idle(&mut self, now: MonoMs) {
        if self.stopped || !self.refuses_new(now) || !self.requests.is_empty() {
            return;
        }
        self.stopped = true;
        self.emit(Action::Stopped);
    }
}
