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
/// `Queued` and `Held` lead to `InFlight`. An attempt that ends without an answer leads back to
/// `Queued` or to the end of the request. `Attached` and `Forwarded` lead to the end only.
#[derive(Debug, Clone)]
pub struct Request {
    /// What was asked for.
    pub submission: Submission,
    /// When it was taken in.
    pub accepted: MonoMs,
    /// When the whole answer is due.
    pub deadline: MonoMs,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// The route that allowed it when it was taken in.
    pub route: RouteRecord,
    /// Targets that were tried, in order.
    pub tried: Vec<TargetName>,
    pub(super) phase: Phase,
    pub(super) ran_before: bool,
    pub(super) caller_gone: bool,
}

/// Where a request stands.
#[derive(Debug, Clone)]
pub enum Phase {
    /// Nothing is in flight.
    Queued,
    /// Nothing is in flight, and it is routed again as soon as what it waits for has come.
    Held,
    /// An attempt is in flight. This is entered before the first byte is written.
    InFlight(Flight),
    /// Waits for the outcome of the request that runs under its ticket.
    Attached,
    /// Passed on to the home of its ticket.
    Forwarded,
}

/// An attempt in flight.
#[derive(Debug, Clone)]
pub struct Flight {
    /// The attempt.
    pub attempt: AttemptId,
    /// The target.
    pub target: TargetName,
    /// Its run.
    pub incarnation: Incarnation,
    /// The other targets of its group, which read with it.
    pub helpers: Vec<TargetName>,
    /// Whether the first chunk came.
    pub first_chunk: bool,
}

impl Request {
    /// A request taken in at `now`.
    pub fn new(now: MonoMs, submission: Submission, idempotent: bool, route: RouteRecord) -> Self {
        Self {
            accepted: now,
            deadline: now + submission.deadline_ms,
            idempotent,
            route,
            tried: Vec::new(),
            phase: Phase::Queued,
            ran_before: false,
            caller_gone: false,
            submission,
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// The attempt in flight, if any.
    pub fn flight(&self) -> Option<&Flight> {
        match &self.phase {
            Phase::InFlight(flight) => Some(flight),
            _ => None,
        }
    }

    /// Whether some target may have run it: an attempt is in flight, or an earlier one ended
    /// otherwise than by the target's own refusal or before its first byte. A later refusal says
    /// nothing of an earlier attempt. What another daemon or an earlier request of the same ticket
    /// did isn't known here, so those phases count as run.
    pub fn may_have_run(&self) -> bool {
        match self.phase {
            Phase::Queued | Phase::Held => self.ran_before,
            Phase::InFlight(_) | Phase::Attached | Phase::Forwarded => true,
        }
    }

    /// Whether an attempt may be dispatched now. Guards against a second run of what may not be
    /// repeated, whatever path asks for the dispatch.
    pub fn may_dispatch(&self) -> bool {
        match self.phase {
            Phase::Queued | Phase::Held => self.idempotent || !self.ran_before,
            Phase::InFlight(_) | Phase::Attached | Phase::Forwarded => false,
        }
    }

    /// Whether its caller went away while it goes on for those who ask again.
    pub fn caller_gone(&self) -> bool {
        self.caller_gone
    }

    pub(super) fn begin(&mut self, flight: Flight) {
        self.tried.push(flight.target.clone());
        self.phase = Phase::InFlight(flight);
    }

    pub(super) fn end_attempt(&mut self, end: AttemptEnd) -> Option<Flight> {
        let Phase::InFlight(flight) = std::mem::replace(&mut self.phase, Phase::Queued) else {
            return None;
        };
        self.ran_before |= end == AttemptEnd::MayHaveRun;
        Some(flight)
    }
}
