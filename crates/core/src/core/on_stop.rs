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

    /// Ends all requests, because the process exits before they are finished.
    ///
    /// Guards against callers that see their connections break and can't tell whether their requests ran.
    pub(super) fn on_abort(&mut self, now: MonoMs) {
        self.on_stop(now);
        self.is_aborted = true;
        for request in self.requests.ids() {
            let message = "this daemon exits before the request is finished: use another entry";
            self.give_up(now, request, Reason::Leaving, message);
        }
        self.stop_if_idle(now);
    }

    /// Returns whether this daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Returns whether new requests are refused: this daemon is leaving, and callers have had time to drop
    /// its address or will get none.
    pub(super) fn refuses_new(&self, now: MonoMs) -> bool {
        let ttl_ms = self.records.in_force().policy().entries_ttl_ms;
        let is_announced = self
            .leaving_since
            .is_some_and(|since| now.since(since) > ttl_ms);
        self.is_aborted || is_announced
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
