use {
    super::AttemptEnd,
    crate::{event::Submission, time::MonoMs},
    whinlatch_wire::{
        ids::{AttemptId, Incarnation, TargetName},
        record::RouteRecord,
    },
};

/// A request that has no final answer yet.
///
/// A `Queued` or `Held` request becomes `InFlight`. When an attempt ends without an answer, the
/// request is `Queued` again or ends. An `Attached` or `Forwarded` request can only end.
#[derive(Debug, Clone)]
pub struct Request {
    /// The request as submitted by its caller.
    pub submission: Submission,
    /// When this daemon accepted it.
    pub accepted: MonoMs,
    /// Time by which the caller must have the complete answer.
    pub deadline: MonoMs,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// Route that allowed the request when it was accepted; later changes don't apply to it.
    pub route: RouteRecord,
    /// Targets of the attempts so far, in order.
    pub tried: Vec<TargetName>,
    pub(super) phase: Phase,
    /// Whether a target may have run an attempt that has ended.
    pub(super) may_have_run_before: bool,
    pub(super) caller_gone: bool,
    /// Number of dispatches, including withdrawn ones.
    dispatches: u32,
}

/// State of a request.
#[derive(Debug, Clone)]
pub enum Phase {
    /// No attempt is in flight.
    Queued,
    /// No attempt is in flight; the request is routed again once its reason to wait is gone.
    Held,
    /// An attempt is in flight. The phase starts before the first byte is written.
    InFlight(InFlightAttempt),
    /// Waits for the outcome of the request that is running under the same ticket.
    Attached,
    /// Forwarded to the daemon that issued its ticket.
    Forwarded,
}

/// An attempt that was sent to a target and has not ended.
#[derive(Debug, Clone)]
pub struct InFlightAttempt {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Target that runs it.
    pub target: TargetName,
    /// Run of the target that the attempt was sent to.
    pub incarnation: Incarnation,
    /// Other engines of its group, which prefill parts of the prompt; empty for a single engine.
    pub helpers: Vec<TargetName>,
    /// Whether the first chunk of the answer has arrived.
    pub first_chunk: bool,
}

impl Request {
    /// Creates a queued request that is accepted at `now`.
    pub fn new(now: MonoMs, submission: Submission, idempotent: bool, route: RouteRecord) -> Self {
        Self {
            accepted: now,
            deadline: now + submission.deadline_ms,
            idempotent,
            route,
            tried: Vec::new(),
            phase: Phase::Queued,
            may_have_run_before: false,
            caller_gone: false,
            dispatches: 0,
            submission,
        }
    }

    /// Returns the current state of the request.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the attempt in flight, if any.
    pub fn in_flight_attempt(&self) -> Option<&InFlightAttempt> {
        match &self.phase {
            Phase::InFlight(in_flight) => Some(in_flight),
            _ => None,
        }
    }

    /// Returns whether a target may have run the request: an attempt is in flight, or an earlier one
    /// ended in another way than a refusal by its target or before its first byte. A later refusal
    /// proves nothing about an earlier attempt. Whether another daemon, or an earlier request under the
    /// same ticket, ran it isn't known here, so `Forwarded` and `Attached` count as run.
    pub fn may_have_run(&self) -> bool {
        match self.phase {
            Phase::Queued | Phase::Held => self.may_have_run_before,
            Phase::InFlight(_) | Phase::Attached | Phase::Forwarded => true,
        }
    }

    /// Returns whether an attempt may be dispatched now. Guards against a second run of a request that
    /// isn't idempotent, on every code path that dispatches.
    pub fn may_dispatch(&self) -> bool {
        match self.phase {
            Phase::Queued | Phase::Held => self.idempotent || !self.may_have_run_before,
            Phase::InFlight(_) | Phase::Attached | Phase::Forwarded => false,
        }
    }

    /// Returns whether the caller disconnected while the run goes on for callers that retry.
    pub fn caller_gone(&self) -> bool {
        self.caller_gone
    }

    /// Returns whether an attempt was dispatched before, also if it was withdrawn.
    pub fn was_dispatched(&self) -> bool {
        self.dispatches > 0
    }

    pub(super) fn begin(&mut self, in_flight: InFlightAttempt) {
        self.tried.push(in_flight.target.clone());
        self.dispatches += 1;
        self.phase = Phase::InFlight(in_flight);
    }

    pub(super) fn end_attempt(&mut self, end: AttemptEnd) -> Option<InFlightAttempt> {
        let Phase::InFlight(in_flight) = std::mem::replace(&mut self.phase, Phase::Queued) else {
            return None;
        };
        match end {
            AttemptEnd::NotRun => {}
            AttemptEnd::Withdrawn => drop(self.tried.pop()),
            AttemptEnd::MayHaveRun => self.may_have_run_before = true,
        }
        Some(in_flight)
    }
}
