//! Time: deadlines, heartbeats, reads that are due, a pause of the process.

use {
    super::Core,
    crate::{action::Action, decisions::Subsystem, requests::ResumeRefresh, time::MonoMs},
    whinlatch_wire::caller::Reason,
};

/// A gap between events after which the process is taken to have been paused, in ms.
const PAUSE_MS: u64 = 2_000;
/// Time between two looks for what may be forgotten, in ms.
const SWEEP_EVERY_MS: u64 = 1_000;

impl Core {
    /// The exact moment of the next deadline, or `now` if one has passed. Called then, the core
    /// ends the request with no delay; ticks end it within one tick.
    pub fn next_wake(&self, now: MonoMs) -> Option<MonoMs> {
        self.requests
            .next_deadline()
            .map(|deadline| deadline.max(now))
    }

    /// Brings the core to `now`, before any event is looked at: the first event after a pause may
    /// be any, and a deadline may pass between two ticks.
    pub(super) fn advance(&mut self, now: MonoMs) {
        let gap_ms = now.since(self.last_event);
        self.last_event = now;
        self.expire(now);
        if gap_ms > PAUSE_MS {
            let text = format!("the process was paused for {gap_ms} ms: the view is stale");
            self.decide(now, Subsystem::Fleet, None, text);
            self.refresh = Some(ResumeRefresh::new(now));
            self.orderer.clear();
        }
    }

    pub(super) fn on_tick(&mut self, now: MonoMs) {
        self.read_platform(now);
        self.read_reports(now);
        self.open_links(now);
        self.beat(now);
        self.end_refresh(now);
        self.settle_poison(now);
        self.route_held(now);
        self.tend_groups(now);
        self.restate_loads(now);
        self.give_orders(now);
        self.forget_old(now);
        self.stop_if_idle(now);
    }

    fn expire(&mut self, now: MonoMs) {
        for request in self.requests.past_deadline(now) {
            self.give_up(now, request, Reason::DeadlineReached, "the deadline passed");
        }
    }

    /// Ends a refresh. What didn't answer is held to be gone until it does.
    fn end_refresh(&mut self, now: MonoMs) {
        let Some(refresh) = self.refresh else {
            return;
        };
        if !refresh.is_over(now, &self.targets, &self.members) {
            return;
        }
        for target in refresh.silent_targets(&self.targets) {
            if let Some(state) = self.targets.get_mut(&target) {
                state.incarnation = None;
            }
        }
        self.refresh = None;
        let text = format!("the view is fresh after {} ms", now.since(refresh.since()));
        self.decide(now, Subsystem::Fleet, None, text);
    }

    fn forget_old(&mut self, now: MonoMs) {
        for ticket in self.tickets.evict_expired(now) {
            self.act(Action::ForgetAnswer { ticket });
        }
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_EVERY_MS;
        self.poison.evict_expired(now);
        self.retries.evict_idle(now);
        let in_force = self.records.in_force();
        self.holdings
            .retain(|target| in_force.target(target).is_some());
    }
}
