//! Calls of plain services, and the admission of requests of all kinds.

use {
    super::{CallPlacement, CallRequest, Refusal, Serving, requests::Admission},
    crate::{
        calls::CallOutcome,
        mechanism::Mechanism,
        names::{ServiceName, TargetId},
        targets::TargetEntry,
    },
    std::net::SocketAddr,
    whinlatch_core::MonoMs,
};

impl Serving {
    /// Records that a request for a service has arrived, which adds to the service's retry budget. Called
    /// once per request, before any target is chosen.
    pub fn record_arrival(&mut self, now: MonoMs, service: &ServiceName) {
        self.budget.record_request(now, service);
    }

    /// Chooses a target for a call and records the call as sent to it.
    ///
    /// # Errors
    /// A [`Refusal`]; the call has not been sent.
    pub fn place_call(
        &mut self,
        now: MonoMs,
        request: &CallRequest<'_>,
    ) -> Result<CallPlacement, Refusal> {
        self.admit_request(now, &request.admission())?;
        let target = self
            .choose_call_target(now, request)
            .ok_or_else(|| self.refusal_for_closed_targets(now, request.service))?;
        self.calls.record_sent(&target.id);
        Ok(CallPlacement { target })
    }

    /// Chooses one of the targets that take requests and weren't tried.
    pub(super) fn choose_call_target(
        &mut self,
        now: MonoMs,
        request: &CallRequest<'_>,
    ) -> Option<TargetEntry> {
        let mut rng = self.rng.fork();
        let candidates = self.targets.ready(request.service);
        let open = candidates.filter(|entry| self.closed_until(now, &entry.id).is_none());
        let target = self.calls.choose(now, open, request.tried, &mut rng);
        target.cloned()
    }

    /// Refuses a request that is poison or has a part that is, and a retry for which the budget has nothing left. Otherwise takes
    /// a retry out of the budget.
    pub(super) fn admit_request(
        &mut self,
        now: MonoMs,
        request: &Admission<'_>,
    ) -> Result<(), Refusal> {
        let Admission {
            service,
            fingerprint,
            parts,
            is_repeat,
        } = *request;
        if self.mechanisms.is_enabled(Mechanism::Poison) {
            if self.is_kept_from_targets(now, fingerprint, is_repeat) {
                return Err(Refusal::Poison);
            }
            if self.has_kept_part(now, parts, is_repeat) {
                return Err(Refusal::PoisonPart);
            }
        }
        let instances = self.members.peak_size();
        if is_repeat && !self.budget.take_retry(now, service, instances) {
            return Err(Refusal::BudgetUsed);
        }
        self.record_part_trials(now, parts);
        Ok(())
    }

    /// Returns a retry of a service to the budget, which wasn't sent to the target that was chosen for it.
    pub fn return_retry(&mut self, now: MonoMs, service: &ServiceName) {
        self.budget.return_retry(now, service);
    }

    /// Reverts the record of a call that wasn't sent after all.
    pub fn record_call_withdrawn(&mut self, target: &TargetId) {
        self.calls.record_withdrawn(target);
    }

    /// Records that a call wasn't sent since no connection to its target could be opened. Peers aren't told: it says
    /// more of the link of this instance than of the target.
    pub fn record_call_not_sent(&mut self, now: MonoMs, target: &TargetId) {
        self.calls.record_not_sent(now, target);
    }

    /// Records the end of a call and the time that it took at its target, in ms.
    pub fn record_call_ended(
        &mut self,
        now: MonoMs,
        target: &TargetId,
        took_ms: f64,
        failed: bool,
    ) {
        self.calls.record_ended(now, target, took_ms, failed);
        let outcome = if failed {
            CallOutcome::Failed
        } else {
            CallOutcome::Answered { took_ms }
        };
        self.record_shared_outcome(now, target, outcome);
    }

    /// Returns whether a connection to a target, or its help, failed recently, here or at a peer.
    pub fn is_unreachable(&self, now: MonoMs, target: &str) -> bool {
        self.calls.is_unreachable(now, target)
    }

    /// Returns whether a run may be gone: its entry is, or a connection to it failed recently, here or at a
    /// peer. A target that leaves may go on serving without an entry.
    pub fn may_be_gone(&self, now: MonoMs, target: &str) -> bool {
        self.is_unreachable(now, target) || self.targets.entry(target).is_none()
    }

    /// Records that a connection to a target failed. Peers are told once this instance has reached another target.
    pub fn record_unreachable(&mut self, now: MonoMs, target: &TargetId) {
        self.calls.record_unreachable(now, target);
        self.unconfirmed_failures.add(now, target);
    }

    /// Records that another target answered at the published address of a run, and queues a notice for all
    /// peers.
    pub fn record_takeover(&mut self, run: &TargetId) {
        let Some(takeover) = self.targets.takeover_of(run) else {
            return;
        };
        if self.targets.apply_takeover(&takeover) {
            self.news.for_all().takeovers.push(takeover);
        }
    }

    /// Records that the engine at an address failed to help with reading a prompt.
    ///
    /// Guards against a helper that has died or is full with parts of other prompts: every further attempt
    /// at the same prompt would choose it again and fail in the same way.
    pub fn record_helper_failure(&mut self, now: MonoMs, address: SocketAddr) {
        let helper = self.targets.ready_at(address).map(|entry| entry.id.clone());
        // An engine says so, whose link to the helper is not that of this instance.
        if let Some(helper) = helper {
            self.calls.record_unreachable(now, &helper);
            self.news.for_all().unreachable.push(helper);
        }
    }

    /// Returns whether a target has restarted since an entry of it was read. Memory that was reserved at
    /// the run of that entry is lost then.
    pub fn has_restarted(&self, entry: &TargetEntry) -> bool {
        self.targets
            .published_entry(entry.name())
            .is_some_and(|published| entry.started_before(published))
    }
}
