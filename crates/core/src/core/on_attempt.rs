//! Progress and end of attempts: the request completes, is retried, or fails with an outcome that doesn't
//! claim more than is known.

use {
    super::Core,
    crate::{
        action::{Action, TargetCall},
        decisions::Subsystem,
        event::AttemptEvent,
        requests::{AttemptEnd, InFlightAttempt, Phase},
        time::MonoMs,
    },
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::{AttemptId, RequestId},
        peer::TargetHealth,
        target::{CancelRequest, Refusal, RefusalReason},
    },
};

/// Maximum number of attempts of one request, including the first.
const MAX_ATTEMPTS: usize = 3;
/// Delay after which a caller may retry if the request ended by a transient failure, in ms.
const RETRY_AFTER_MS: u64 = 1_000;

impl Core {
    pub(super) fn on_attempt(&mut self, now: MonoMs, attempt: AttemptId, event: AttemptEvent) {
        // Late events of an attempt that has ended are ignored.
        let Some(request) = self.requests.of_attempt(attempt) else {
            return;
        };
        match event {
            AttemptEvent::FirstChunk => {
                self.record_first_token(now, request, attempt);
                self.requests.mark_first_chunk(request);
            }
            AttemptEvent::Completed => self.on_completed(now, request, attempt),
            AttemptEvent::NotSent => {
                self.end_attempt(attempt, AttemptEnd::NotRun);
                self.try_again(now, request, Reason::TargetLost, "nothing was sent");
            }
            AttemptEvent::Stale => self.on_stale(now, request, attempt),
            AttemptEvent::Refused(refusal) if refusal.attempt == attempt => {
                self.on_refused(now, request, &refusal);
            }
            // Guards against answers that are mixed up on a reused connection. This refusal proves
            // nothing about the attempt in flight here, and mustn't end the one that it names.
            AttemptEvent::Refused(_) => {
                self.stop_attempt(attempt);
                self.try_again(
                    now,
                    request,
                    Reason::TargetFailed,
                    "the target answered for another attempt",
                );
            }
            AttemptEvent::Broken { .. } => {
                self.record_broken_attempt(now, attempt);
                self.end_attempt(attempt, AttemptEnd::MayHaveRun);
                self.try_again(
                    now,
                    request,
                    Reason::TargetLost,
                    "the connection to the target broke",
                );
            }
            AttemptEvent::Silent => self.on_silent(now, request, attempt),
            AttemptEvent::Failed { status } => {
                self.end_attempt(attempt, AttemptEnd::MayHaveRun);
                let message = format!("the target failed with status {status}");
                self.try_again(now, request, Reason::TargetFailed, &message);
            }
        }
    }

    fn on_completed(&mut self, now: MonoMs, request: RequestId, attempt: AttemptId) {
        self.end_attempt(attempt, AttemptEnd::MayHaveRun);
        self.clear_suspicion(request);
        let message = "the answer is complete";
        let kind = OutcomeKind::Completed;
        self.finish(now, request, kind, Reason::Done, message, None);
    }

    /// Decides again on a request whose dispatch was too old to be sent.
    ///
    /// Guards against a request that is refused although its targets are sound: a busy daemon needs longer
    /// than `send_before` to encode or connect, and each such dispatch would use up an attempt.
    fn on_stale(&mut self, now: MonoMs, request: RequestId, attempt: AttemptId) {
        self.end_attempt(attempt, AttemptEnd::Withdrawn);
        let text = "decided again: the dispatch was too old to be sent".to_owned();
        self.record_decision(now, Subsystem::Requests, Some(request), text);
        self.route(now, request);
    }

    /// Sends a request whose target is silent to another one. If none can take it, the attempt goes on.
    ///
    /// Guards against an answer that is given up although its target is silent only for some time, and nobody else
    /// may run the request.
    fn on_silent(&mut self, now: MonoMs, request: RequestId, attempt: AttemptId) {
        self.record_broken_attempt(now, attempt);
        if !self.has_other_target(now, request) {
            let text = "the target is silent, and no other can take the request".to_owned();
            self.record_decision(now, Subsystem::Requests, Some(request), text);
            return;
        }
        self.stop_attempt(attempt);
        self.try_again(now, request, Reason::TargetSilent, "the target is silent");
    }

    /// Returns whether a request in flight may be sent to a target where it wasn't tried.
    fn has_other_target(&mut self, now: MonoMs, request: RequestId) -> bool {
        let Some(entry) = self.requests.get(request) else {
            return false;
        };
        let per_mille = self.records.in_force().policy().retry_budget_per_mille;
        entry.idempotent
            && entry.tried.len() < MAX_ATTEMPTS
            && self
                .targets_for(entry)
                .any(|target| !entry.tried.contains(target))
            && self
                .retries
                .allows(now, &entry.submission.account, per_mille)
    }

    fn on_refused(&mut self, now: MonoMs, request: RequestId, refusal: &Refusal) {
        let Some(in_flight) = self.end_attempt(refusal.attempt, attempt_end(refusal.reason)) else {
            return;
        };
        let health = TargetHealth::Leaving;
        if refusal.reason == RefusalReason::Leaving
            && self
                .targets
                .worsen_health(&in_flight.target, in_flight.incarnation, health)
        {
            self.announce_leaving(
                now,
                &in_flight.target,
                in_flight.incarnation,
                "its refusal of an attempt",
            );
        }
        let (reason, message) = caller_reason(refusal.reason);
        self.try_again(now, request, reason, message);
    }

    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptId,
        end: AttemptEnd,
    ) -> Option<InFlightAttempt> {
        let in_flight = self.requests.end_attempt(attempt, end)?;
        self.remove_from_target(&in_flight);
        Some(in_flight)
    }

    /// Ends an attempt that may still be running at its target, and cancels it there.
    pub(super) fn stop_attempt(&mut self, attempt: AttemptId) {
        if let Some(in_flight) = self.end_attempt(attempt, AttemptEnd::MayHaveRun) {
            self.cancel(&in_flight);
        }
    }

    fn remove_from_target(&mut self, in_flight: &InFlightAttempt) {
        self.remove_load(in_flight);
        if let Some(state) = self.targets.get_mut(&in_flight.target) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Routes the request again if it may be dispatched, has attempts left and the retry budget allows it.
    /// Otherwise ends it with the reason of its last failure.
    pub(super) fn try_again(
        &mut self,
        now: MonoMs,
        request: RequestId,
        reason: Reason,
        message: &str,
    ) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        if !entry.may_dispatch() || entry.tried.len() >= MAX_ATTEMPTS {
            self.give_up(now, request, reason, message);
            return;
        }
        let per_mille = self.records.in_force().policy().retry_budget_per_mille;
        if !self
            .retries
            .try_take(now, &entry.submission.account, per_mille)
        {
            let text = "not retried: the retry budget is spent".to_owned();
            self.record_decision(now, Subsystem::Requests, Some(request), text);
            self.give_up(now, request, reason, message);
            return;
        }
        let text = format!("retried: {message}");
        self.record_decision(now, Subsystem::Requests, Some(request), text);
        self.route(now, request);
    }

    pub(super) fn on_caller_gone(&mut self, now: MonoMs, request: RequestId) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        // A request that must not run twice isn't cancelled while it runs: its caller, or the daemon
        // that forwarded it, can retry with the ticket and gets the outcome.
        let runs_once = !entry.idempotent && entry.in_flight_attempt().is_some();
        if runs_once {
            self.requests.mark_caller_gone(request);
            let text = "the caller disconnected; the attempt continues".to_owned();
            self.record_decision(now, Subsystem::Requests, Some(request), text);
            return;
        }
        self.give_up(now, request, Reason::CallerGone, "the caller disconnected");
    }

    /// Ends a request without a complete answer, and cancels its attempt in flight.
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
        let kind = self.current_outcome_kind(request);
        let may_retry =
            kind == OutcomeKind::NotRun || entry.idempotent || may_retry_for_outcome(entry.phase());
        let retry_after_ms = retry_after_ms(reason).filter(|_| may_retry);
        if let Some(in_flight) = entry.in_flight_attempt().cloned() {
            self.cancel(&in_flight);
        }
        self.finish(now, request, kind, reason, message, retry_after_ms);
    }

    /// Returns the outcome of a request that ends now without an answer: `Unknown` if a target may have run
    /// it, else `NotRun`.
    pub(super) fn current_outcome_kind(&self, request: RequestId) -> OutcomeKind {
        match self.requests.get(request) {
            Some(entry) if entry.may_have_run() => OutcomeKind::Unknown,
            _ => OutcomeKind::NotRun,
        }
    }

    /// Stops reading an attempt's answer and cancels the attempt at its target.
    pub(super) fn cancel(&mut self, in_flight: &InFlightAttempt) {
        self.emit(Action::Abandon {
            attempt: in_flight.attempt,
        });
        let Some(state) = self.targets.get(&in_flight.target) else {
            return;
        };
        let address = state.address;
        let cancel = CancelRequest {
            attempt: in_flight.attempt,
        };
        self.emit(Action::Call {
            target: in_flight.target.clone(),
            address,
            call: TargetCall::Cancel(cancel),
        });
    }

    /// Ends a request with its final outcome, and answers the requests that wait for it.
    pub(super) fn finish_with(&mut self, now: MonoMs, outcome: &Outcome) {
        self.release_group(outcome.request);
        let entry = self.requests.remove(outcome.request);
        if let Some(in_flight) = entry.as_ref().and_then(|entry| entry.in_flight_attempt()) {
            self.remove_from_target(in_flight);
        }
        self.decision_history.set_outcome(outcome);
        let text = format!("ended {}: {}", outcome.outcome, outcome.message);
        self.record_decision(now, Subsystem::Requests, Some(outcome.request), text);
        self.emit(Action::Finish(outcome.clone()));
        if let Some(entry) = entry {
            self.record_ticket_outcome(now, &entry, outcome);
        }
    }
}

/// Returns whether a refused attempt may have run.
///
/// Guards against reporting `not_run` for an attempt that an earlier run of the target ran. If an
/// attempt arrives twice, for example over a second connection after silence, the target may have run
/// the first copy and died; its new run refuses the second copy without knowing of the first.
fn attempt_end(refusal: RefusalReason) -> AttemptEnd {
    match refusal {
        RefusalReason::OtherIncarnation => AttemptEnd::MayHaveRun,
        RefusalReason::Full
        | RefusalReason::Leaving
        | RefusalReason::NotLoaded
        | RefusalReason::Expired
        | RefusalReason::Invalid => AttemptEnd::NotRun,
    }
}

/// Returns the reason and message that the caller receives if no target accepts the request.
fn caller_reason(refusal: RefusalReason) -> (Reason, &'static str) {
    match refusal {
        RefusalReason::Full => (Reason::FleetFull, "the target is full"),
        RefusalReason::Leaving => (Reason::NoTarget, "the target is leaving"),
        RefusalReason::OtherIncarnation => (Reason::NoTarget, "the target has restarted"),
        RefusalReason::NotLoaded => (
            Reason::NoTarget,
            "the target has not loaded the model or adapter",
        ),
        RefusalReason::Expired => (
            Reason::DeadlineReached,
            "the deadline had passed at the target",
        ),
        RefusalReason::Invalid => (
            Reason::BadRequest,
            "the target rejected the request as invalid",
        ),
    }
}

/// Returns whether the caller should retry although the outcome is unknown: the request may be running
/// under its ticket, and a retry gets that outcome.
fn may_retry_for_outcome(phase: &Phase) -> bool {
    matches!(phase, Phase::Attached | Phase::Forwarded)
}

fn retry_after_ms(reason: Reason) -> Option<u64> {
    match reason {
        Reason::NoRecords
        | Reason::NoTarget
        | Reason::DeadlineUnreachable
        | Reason::AccountLimit
        | Reason::FleetFull
        | Reason::DeadlineReached
        | Reason::TargetLost
        | Reason::TargetSilent
        | Reason::TargetFailed
        | Reason::Paused => Some(RETRY_AFTER_MS),
        Reason::Leaving => Some(0),
        Reason::Done
        | Reason::BadRequest
        | Reason::TooLarge
        | Reason::Unauthorized
        | Reason::NotAllowed
        | Reason::UnknownModel
        | Reason::BadDeadline
        | Reason::TicketNeeded
        | Reason::TicketLost
        | Reason::PromptTooLong
        | Reason::Poison
        | Reason::CallerGone => None,
    }
}
