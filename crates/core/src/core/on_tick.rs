//! Work that depends on time: deadlines, heartbeats, due reads, and pauses of the process.

use {
    super::Core,
    crate::{action::Action, decisions::Subsystem, requests::ResumeRefresh, time::MonoMs},
    whinlatch_wire::caller::Reason,
};

/// Gap between two events above which the process is considered to have been paused, in ms. Ticks come about
/// every 50 ms.
const PAUSE_THRESHOLD_MS: u64 = 2_000;
/// Interval between evictions of expired state, in ms.
const EVICTION_INTERVAL_MS: u64 = 1_000;

impl Core {
    /// Returns the time of the next deadline, `now` if one has passed, or `None` without requests. An event
    /// at this time ends the request without delay; otherwise the next tick ends it.
    pub fn next_wake(&self, now: MonoMs) -> Option<MonoMs> {
        self.requests
            .next_deadline()
            .map(|deadline| deadline.max(now))
    }

    /// Advances the core's clock to `now` before an event is handled: ends requests whose deadline has
    /// passed, and detects pauses. Not left to ticks, since any event may be the first after a pause, and a
    /// deadline may pass between two ticks.
    pub(super) fn advance(&mut self, now: MonoMs) {
        let gap_ms = now.since(self.last_event_at);
        self.last_event_at = now;
        self.expire_requests(now);
        if gap_ms > PAUSE_THRESHOLD_MS {
            let text = format!("the process was paused for {gap_ms} ms: the view is stale");
            self.record_decision(now, Subsystem::Fleet, None, text);
            self.refresh = Some(ResumeRefresh::new(now));
            self.order_planner.clear();
        }
    }

    pub(super) fn on_tick(&mut self, now: MonoMs) {
        self.read_platform(now);
        self.read_reports(now);
        self.update_links(now);
        self.send_heartbeats(now);
        self.end_refresh_if_over(now);
        self.resolve_crashes(now);
        self.route_held(now);
        self.process_due_groups(now);
        self.resend_loads(now);
        self.send_orders(now);
        self.evict_expired(now);
        self.stop_if_idle(now);
    }

    fn expire_requests(&mut self, now: MonoMs) {
        for request in self.requests.past_deadline(now) {
            self.give_up(now, request, Reason::DeadlineReached, "the deadline passed");
        }
    }

    /// Ends a refresh that is over. Targets that didn't answer get no requests until they report again.
    fn end_refresh_if_over(&mut self, now: MonoMs) {
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
        let text = format!(
            "the view is up to date after {} ms",
            now.since(refresh.since())
        );
        self.record_decision(now, Subsystem::Fleet, None, text);
    }

    fn evict_expired(&mut self, now: MonoMs) {
        for ticket in self.tickets.evict_expired(now) {
            self.emit(Action::ForgetAnswer { ticket });
        }
        if now < self.next_eviction_at {
            return;
        }
        self.next_eviction_at = now + EVICTION_INTERVAL_MS;
        self.poison.evict_expired(now);
        self.retries.evict_idle(now);
        let in_force = self.records.in_force();
        self.leak_detector
            .retain(|target| in_force.target(target).is_some());
    }
}
