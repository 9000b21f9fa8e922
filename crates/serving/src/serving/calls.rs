//! Calls of plain services, and the budget for repeats.

use {
    super::{CallPlacement, CallRequest, Refusal, Serving},
    crate::{
        fleet::Crash,
        mechanism::Mechanism,
        names::{ServiceName, TargetId},
        retries::Fingerprint,
        targets::TargetEntry,
    },
    std::net::SocketAddr,
    whinlatch_core::MonoMs,
};

impl Serving {
    /// Notes a request that arrived for a service, before any target is chosen.
    pub fn record_arrival(&mut self, now: MonoMs, service: &ServiceName) {
        self.budget.record_request(now, service);
    }

    /// Chooses a target for a call and counts it as sent there.
    ///
    /// # Errors
    /// A [`Refusal`]; the call has not been sent.
    pub fn place_call(
        &mut self,
        now: MonoMs,
        ask: &CallRequest<'_>,
    ) -> Result<CallPlacement, Refusal> {
        self.admit_request(now, ask.service, ask.fingerprint, ask.is_repeat)?;
        let mut rng = self.rng.fork();
        let candidates = self.targets.ready(ask.service);
        let open = candidates.filter(|entry| self.closed_until(now, &entry.id).is_none());
        let target = self.calls.choose(now, open, ask.tried, &mut rng);
        let target = target
            .cloned()
            .ok_or_else(|| self.refusal_for_closed_targets(now, ask.service))?;
        self.calls.record_sent(&target.id);
        Ok(CallPlacement { target })
    }

    pub(super) fn admit_request(
        &mut self,
        now: MonoMs,
        service: &ServiceName,
        fingerprint: Fingerprint,
        is_repeat: bool,
    ) -> Result<(), Refusal> {
        let keeps_poison = self.without.has(Mechanism::Poison);
        if keeps_poison && self.crashes.is_poison(now, fingerprint) {
            return Err(Refusal::Poison);
        }
        let instances = self.members.peak_size();
        if is_repeat && !self.budget.take_retry(now, service, instances) {
            return Err(Refusal::BudgetUsed);
        }
        Ok(())
    }

    /// Notes that a call that was counted as sent isn't sent after all.
    pub fn record_call_withdrawn(&mut self, target: &TargetId) {
        self.calls.record_withdrawn(target);
    }

    /// Notes the end of a call.
    pub fn record_call_ended(
        &mut self,
        now: MonoMs,
        target: &TargetId,
        took_ms: f64,
        failed: bool,
    ) {
        self.calls.record_ended(now, target, took_ms, failed);
    }

    /// Whether a target could not be reached a moment ago, here or by a peer.
    pub fn is_unreachable(&self, now: MonoMs, target: &str) -> bool {
        self.calls.is_unreachable(now, target)
    }

    /// Notes that no connection to a target could be had.
    pub fn record_unreachable(&mut self, now: MonoMs, target: &TargetId) {
        self.calls.record_unreachable(now, target);
        self.news.for_all().unreachable.push(target.clone());
    }

    /// Notes that another target answered where a run was published.
    pub fn record_takeover(&mut self, run: &TargetId) {
        let Some(displaced) = self.targets.takeover_of(run) else {
            return;
        };
        if self.targets.apply_takeover(&displaced) {
            self.news.for_all().displaced.push(displaced);
        }
    }

    /// Notes that the engine at an address didn't help to read a prompt.
    ///
    /// Guards against an engine that has died or is full of others' parts: each further attempt at
    /// the same prompt would name it again and be turned away like the one before.
    pub fn record_helper_failure(&mut self, now: MonoMs, address: SocketAddr) {
        let helper = self.targets.ready_at(address).map(|entry| entry.id.clone());
        if let Some(helper) = helper {
            self.record_unreachable(now, &helper);
        }
    }

    /// Whether a target has started again since an entry of it was read: what it held then is gone.
    pub fn has_restarted(&self, entry: &TargetEntry) -> bool {
        self.targets
            .published_entry(entry.name())
            .is_some_and(|published| entry.started_before(published))
    }

    /// Notes that a target served a request.
    pub fn record_served(&mut self, fingerprint: Fingerprint) {
        if self.crashes.record_served(fingerprint) {
            self.news.for_all().served.push(fingerprint);
        }
    }

    /// Notes that a target broke off the work on a request.
    pub fn record_crash(&mut self, now: MonoMs, fingerprint: Fingerprint, target: &TargetId) {
        let crash = Crash {
            fingerprint,
            target: target.clone(),
        };
        if self.crashes.record_crash(now, &crash) {
            self.news.for_all().crashes.push(crash);
        }
    }
}
