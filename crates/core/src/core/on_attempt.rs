//! What becomes of attempts: the answer, another attempt, or a truthful failure.

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

/// Attempts of one request, the first included.
const MAX_ATTEMPTS: usize = 3;
/// When a caller is told to come back after a failure that may pass, in ms.
const RETRY_AFTER_MS: u64 = 1_000;

impl Core {
    pub(super) fn on_attempt(&mut self, now: MonoMs, attempt: AttemptId, event: AttemptEvent) {
        // An attempt that is over has no request any more, and its late events end here.
        let Some(request) = self.requests.of_attempt(attempt) else {
            return;
        };
        match event {
            AttemptEvent::FirstChunk => {
                self.note_read(now, request, attempt);
                self.requests.mark_first_chunk(request);
            }
            AttemptEvent::Completed => self.on_completed(now, request, attempt),
            AttemptEvent::NotSent => {
                self.end_attempt(attempt, AttemptEnd::NotRun);
                self.try_again(now, request, Reason::TargetLost, "nothing was sent");
            }
            AttemptEvent::Refused(refusal) if refusal.attempt == attempt => {
                self.on_refused(now, request, &refusal);
            }
            // Guards against answers that cross on a reused connection: this refusal says nothing
            // of the attempt that is in flight here, nor may it end the one that it names.
            AttemptEvent::Refused(_) => {
                self.stop_attempt(attempt);
                self.try_again(
                    now,
                    request,
                    Reason::TargetFailed,
                    "the answer was not its own",
                );
            }
            AttemptEvent::Broken { .. } => {
                self.broke_off(now, attempt);
                self.end_attempt(attempt, AttemptEnd::MayHaveRun);
                self.try_again(now, request, Reason::TargetLost, "the target broke off");
            }
            AttemptEvent::Silent { .. } => {
                self.broke_off(now, attempt);
                self.stop_attempt(attempt);
                self.try_again(now, request, Reason::TargetSilent, "the target is silent");
            }
            AttemptEvent::Failed { status } => {
                self.end_attempt(attempt, AttemptEnd::MayHaveRun);
                let message = format!("the target failed with status {status}");
                self.try_again(now, request, Reason::TargetFailed, &message);
            }
        }
    }

    fn on_completed(&mut self, now: MonoMs, request: RequestId, attempt: AttemptId) {
        self.end_attempt(attempt, AttemptEnd::MayHaveRun);
        self.absolve(request);
        let message = "the answer is whole";
        let kind = OutcomeKind::Completed;
        self.finish(now, request, kind, Reason::Done, message, None);
    }

    fn on_refused(&mut self, now: MonoMs, request: RequestId, refusal: &Refusal) {
        let Some(flight) = self.end_attempt(refusal.attempt, end_of(refusal.reason)) else {
            return;
        };
        let health = TargetHealth::Leaving;
        if refusal.reason == RefusalReason::Leaving
            && self
                .targets
                .worsen_health(&flight.target, flight.incarnation, health)
        {
            self.leaves(now, &flight.target, flight.incarnation, "its refusal");
        }
        let (reason, message) = told_of(refusal.reason);
        self.try_again(now, request, reason, message);
    }

    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptId,
        end: AttemptEnd,
    ) -> Option<InFlightAttempt> {
        let flight = self.requests.end_attempt(attempt, end)?;
        self.left_target(&flight);
        Some(flight)
    }

    /// Ends an attempt that may go on at its target, and cancels it there.
    pub(super) fn stop_attempt(&mut self, attempt: AttemptId) {
        if let Some(flight) = self.end_attempt(attempt, AttemptEnd::MayHaveRun) {
            self.cancel(&flight);
        }
    }

    fn left_target(&mut self, flight: &InFlightAttempt) {
        self.forget_load(flight);
        if let Some(state) = self.targets.get_mut(&flight.target) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Routes the request once more if that is safe and within the budget, else ends it with the
    /// reason of its last failure.
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
            let text = "not tried again: the retry budget is spent".to_owned();
            self.decide(now, Subsystem::Requests, Some(request), text);
            self.give_up(now, request, reason, message);
            return;
        }
        let text = format!("tried again: {message}");
        self.decide(now, Subsystem::Requests, Some(request), text);
        self.route(now, request);
    }

    pub(super) fn on_caller_gone(&mut self, now: MonoMs, request: RequestId) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        // A run that can't be had again isn't thrown away: its caller, or the one who passed it
        // on, asks again with the ticket and gets the outcome.
        let runs_once = !entry.idempotent && entry.in_flight_attempt().is_some();
        if runs_once {
            self.requests.mark_caller_gone(request);
            let text = "the caller went away, the run goes on".to_owned();
            self.decide(now, Subsystem::Requests, Some(request), text);
            return;
        }
        self.give_up(now, request, Reason::CallerGone, "the caller went away");
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
        let kind = self.kind_now(request);
        let repeat =
            kind == OutcomeKind::NotRun || entry.idempotent || may_ask_again(entry.phase());
        let retry_after_ms = retry_after_ms(reason).filter(|_| repeat);
        if let Some(flight) = entry.in_flight_attempt().cloned() {
            self.cancel(&flight);
        }
        self.finish(now, request, kind, reason, message, retry_after_ms);
    }

    /// What may be said of a request that gets no further attempt.
    pub(super) fn kind_now(&self, request: RequestId) -> OutcomeKind {
        match self.requests.get(request) {
            Some(entry) if entry.may_have_run() => OutcomeKind::Unknown,
            _ => OutcomeKind::NotRun,
        }
    }

    /// Stops an attempt here and at its target.
    pub(super) fn cancel(&mut self, flight: &InFlightAttempt) {
        self.act(Action::Abandon {
            attempt: flight.attempt,
        });
        let Some(state) = self.targets.get(&flight.target) else {
            return;
        };
        let address = state.address;
        let cancel = CancelRequest {
            attempt: flight.attempt,
        };
        self.act(Action::Call {
            target: flight.target.clone(),
            address,
            call: TargetCall::Cancel(cancel),
        });
    }

    /// Ends a request with its final answer, and those that wait for its outcome.
    pub(super) fn finish_with(&mut self, now: MonoMs, outcome: &Outcome) {
        self.release_group(outcome.request);
        let entry = self.requests.remove(outcome.request);
        if let Some(flight) = entry.as_ref().and_then(|entry| entry.in_flight_attempt()) {
            self.left_target(flight);
        }
        self.book.set_outcome(outcome);
        let text = format!("ended {}: {}", outcome.outcome, outcome.message);
        self.decide(now, Subsystem::Requests, Some(outcome.request), text);
        self.act(Action::Finish(outcome.clone()));
        if let Some(entry) = entry {
            self.settle_ticket(now, &entry, outcome);
        }
    }
}

/// What a refusal says of the run.
///
/// Guards against `not_run` being said of what an earlier run of the target ran: where an attempt
/// arrives twice, as over a second connection after silence, the target may have run the first copy
/// and died; its new run refuses the second and knows nothing of the first.
fn end_of(refusal: RefusalReason) -> AttemptEnd {
    match refusal {
        RefusalReason::OtherIncarnation => AttemptEnd::MayHaveRun,
        RefusalReason::Full
        | RefusalReason::Leaving
        | RefusalReason::NotLoaded
        | RefusalReason::Expired
        | RefusalReason::Invalid => AttemptEnd::NotRun,
    }
}

/// What the caller is told if no target takes the request.
fn told_of(refusal: RefusalReason) -> (Reason, &'static str) {
    match refusal {
        RefusalReason::Full => (Reason::FleetFull, "the target is full"),
        RefusalReason::Leaving => (Reason::NoTarget, "the target is about to leave"),
        RefusalReason::OtherIncarnation => (Reason::NoTarget, "the target has restarted"),
        RefusalReason::NotLoaded => (Reason::NoTarget, "the target has not loaded it"),
        RefusalReason::Expired => (Reason::DeadlineReached, "the time was over at the target"),
        RefusalReason::Invalid => (Reason::BadRequest, "the target finds the request invalid"),
    }
}

/// Whether asking again helps though the outcome is not known: what runs may still be had.
fn may_ask_again(phase: &Phase) -> bool {
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
