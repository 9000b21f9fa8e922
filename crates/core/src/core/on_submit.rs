//! New requests of callers: authorization, deadline, routing and dispatch.

use {
    super::Core,
    crate::{
        action::{Action, Dispatch},
        admission::{authorize, is_idempotent},
        decisions::Subsystem,
        event::Submission,
        requests::{InFlightAttempt, Request},
        routing::{Choice, RoutingContext, RoutingError, RoutingRequest, Weight},
        time::MonoMs,
    },
    whinlatch_wire::{
        caller::{OutcomeKind, Reason},
        ids::RequestId,
    },
};

/// Delay after which a caller may retry if there are no records or no live target, in ms.
const NO_TARGET_RETRY_MS: u64 = 1_000;
/// Maximum time from the decision to dispatch until the first byte is sent, in ms.
const SEND_TIMEOUT_MS: u64 = 1_000;

impl Core {
    pub(super) fn on_submit(&mut self, now: MonoMs, submission: Submission) {
        let request = submission.request;
        self.decision_history.start(now, request);
        if self.records.summary().count == 0 {
            let message = "this daemon has no records yet: use another entry";
            self.refuse_before_claim(
                now,
                &submission,
                Reason::NoRecords,
                message,
                Some(NO_TARGET_RETRY_MS),
            );
            return;
        }
        let (route, idempotent) = match authorize(self.records.in_force(), &submission) {
            Ok((_, route)) => (route.clone(), is_idempotent(route)),
            Err(refused) => {
                let message = refused.to_string();
                self.refuse_before_claim(now, &submission, refused.reason(), &message, None);
                return;
            }
        };
        let max_deadline_ms = self.records.in_force().policy().max_deadline_ms;
        if submission.deadline_ms == 0 || submission.deadline_ms > max_deadline_ms {
            let message = format!("the deadline must be 1 to {max_deadline_ms} ms");
            self.refuse_before_claim(now, &submission, Reason::BadDeadline, &message, None);
            return;
        }
        let entry = Request::new(now, submission, idempotent, route);
        if !idempotent {
            self.submit_non_idempotent(now, entry);
        } else if self.refuses_new(now) {
            self.refuse_leaving(now, request);
        } else {
            self.requests.insert(entry);
            self.route(now, request);
        }
    }

    /// Chooses a target and dispatches the request to it, or ends the request. Long prompts, and those
    /// that no single engine can hold, are placed on a group of engines.
    pub(super) fn route(&mut self, now: MonoMs, request: RequestId) {
        if !self.may_route(now, request) {
            return;
        }
        let avoided = self.avoided_targets(now, request);
        let alone = self.must_run_alone(now, request);
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let policy = self.records.in_force().policy();
        let routing_request =
            RoutingRequest::new(&entry.submission.work, &entry.route, &avoided, policy)
                .alone(alone);
        if routing_request.weight == Weight::Long {
            self.place_on_engines(now, request);
            return;
        }
        let context = RoutingContext {
            now,
            in_force: self.records.in_force(),
            targets: &self.targets,
            daemons: self.members.alive().count() + 1,
        };
        match self
            .router
            .choose(&context, &routing_request, &mut self.rng)
        {
            Ok(choice) if self.must_wait_for_suspect(now, request, &choice.target) => {}
            Ok(choice) => self.dispatch(now, request, &choice),
            Err(RoutingError::TooLong) => self.place_on_engines(now, request),
            Err(RoutingError::NoneLive) => {
                let message = RoutingError::NoneLive.to_string();
                let retry = Some(NO_TARGET_RETRY_MS);
                let kind = self.current_outcome_kind(request);
                self.finish(now, request, kind, Reason::NoTarget, &message, retry);
            }
        }
    }

    pub(super) fn dispatch(&mut self, now: MonoMs, request: RequestId, choice: &Choice) {
        let attempt = self.random_attempt_id();
        let target = &choice.target;
        let Some(state) = self.targets.get(target) else {
            return;
        };
        let Some(incarnation) = state.incarnation else {
            return;
        };
        let address = state.address;
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        if !entry.was_dispatched() {
            self.retries
                .record_first_attempt(now, &entry.submission.account);
        }
        let group = self.groups.get(request);
        let dispatch = Dispatch {
            request,
            attempt,
            target: target.clone(),
            address,
            expect_incarnation: incarnation,
            deadline: entry.deadline,
            send_before: (now + SEND_TIMEOUT_MS).min(entry.deadline),
            priority: self.priority_of(entry),
            version: None,
            resume: entry.may_have_run(),
            reservation: group.and_then(|group| group.reservation_at(target)),
            group: group.map_or_else(Vec::new, |group| group.members(target)),
            keep_answer: entry.submission.ticket,
        };
        let in_flight = InFlightAttempt {
            attempt,
            target: target.clone(),
            incarnation,
            helpers: group.map_or_else(Vec::new, |group| group.helpers(target)),
            first_chunk: false,
        };
        if !self.requests.mark_dispatched(request, in_flight) {
            return;
        }
        if let Some(state) = self.targets.get_mut(target) {
            state.in_flight += 1;
        }
        self.record_sent(now, request, attempt, choice);
        let text = format!(
            "attempt {attempt} dispatched to {target}: predicted wait {:.0} ms, read time {:.0} ms",
            choice.wait_ms, choice.read_ms
        );
        self.record_decision(now, Subsystem::Routing, Some(request), text);
        self.emit(Action::Dispatch(Box::new(dispatch)));
    }

    pub(super) fn refuse(
        &mut self,
        now: MonoMs,
        request: RequestId,
        reason: Reason,
        message: &str,
        retry_after_ms: Option<u64>,
    ) {
        self.finish(
            now,
            request,
            OutcomeKind::NotRun,
            reason,
            message,
            retry_after_ms,
        );
    }
}
