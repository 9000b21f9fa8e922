//! Time: deadlines, heartbeats, reads that are due, a pause of the process, the end.

use {
    super::Core,
    crate::{action::Action, decisions::Part, time::MonoMs},
    whinlatch_wire::{
        caller::{OutcomeKind, Reason},
        ids::RequestId,
    },
};

/// A gap between events after which the process is taken to have been paused, in ms.
const PAUSE_MS: u64 = 2_000;

impl Core {
    pub(super) fn on_tick(&mut self, now: MonoMs) {
        let gap_ms = now.since(self.last_event);
        if gap_ms > PAUSE_MS {
            let text = format!("the process was paused for {gap_ms} ms");
            self.decide(now, Part::Fleet, None, text);
        }
        self.expire(now);
        self.tend_groups(now);
        self.restate_loads(now);
        self.read_platform(now);
        self.read_reports(now);
        self.open_links(now);
        self.beat(now);
        for ticket in self.tickets.forget_old(now) {
            self.act(Action::ForgetAnswer { ticket });
        }
        self.stop_if_idle();
    }

    fn expire(&mut self, now: MonoMs) {
        for request in self.requests.overdue(now) {
            self.give_up(now, request, Reason::DeadlineReached, "the deadline passed");
        }
    }

    /// Ends a request that has no whole answer, and cancels what is in flight.
    pub(super) fn give_up(
        &mut self,
        now: MonoMs,
        request: RequestId,
        reason: Reason,
        message: &str,
    ) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let kind = if entry.may_have_run {
            OutcomeKind::Unknown
        } else {
            OutcomeKind::NotRun
        };
        if let Some(flight) = entry.flight.clone() {
            self.cancel(&flight);
        }
        self.finish(now, request, kind, reason, message, None);
    }

    pub(super) fn on_stop(&mut self, now: MonoMs) {
        if self.leaving_since.is_some() {
            return;
        }
        self.leaving_since = Some(now);
        self.decide(now, Part::Fleet, None, "this daemon is leaving".to_owned());
        self.stop_if_idle();
    }

    /// Ends the daemon when callers have had time to drop its address and nothing is in flight.
    fn stop_if_idle(&mut self) {
        let Some(since) = self.leaving_since else {
            return;
        };
        let ttl_ms = self.records.in_force().policy().entries_ttl_ms;
        let forgotten = self.last_event.since(since) > ttl_ms;
        if forgotten && self.requests.is_empty() {
            self.act(Action::Stopped);
        }
    }
}
