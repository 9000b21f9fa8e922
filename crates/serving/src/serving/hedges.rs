//! Second attempts of late calls.

use {
    super::{CallPlacement, CallRequest, Serving},
    crate::{
        calls::{AnswerTimes, HedgeDelay, HedgeDenial, HedgeLimit, can_be_hedged},
        catalog::Route,
        mechanism::Mechanism,
        names::{ServiceName, TargetId},
    },
    std::collections::HashMap,
    whinlatch_core::MonoMs,
};

/// Quantile of the answer times from which an answer is late.
const LATE_QUANTILE: f64 = 0.95;
/// Share of a service's slots in use from which it is busy.
const BUSY_SHARE: f64 = 0.7;

/// What an instance knows about calls that may need a second attempt.
#[derive(Debug, Default)]
pub(super) struct Hedges {
    limit: HedgeLimit,
    answers: HashMap<ServiceName, AnswerTimes>,
}

impl Hedges {
    /// Removes the answer times of services that aren't published any more.
    pub(super) fn retain(&mut self, is_published: impl Fn(&str) -> bool) {
        self.answers.retain(|service, _| is_published(service));
    }
}

impl Serving {
    /// Returns the 95th percentile of a service's answer times, in ms, as this instance knows them; `None` if it
    /// knows too few.
    pub fn late_answer_ms(&self, now: MonoMs, service: &ServiceName) -> Option<f64> {
        let answers = self.hedges.answers.get(service)?;
        answers.quantile_ms(now, LATE_QUANTILE)
    }

    /// Returns whether over seven tenths of a service's slots are in use, by the calls of this instance.
    pub fn is_service_busy(&self, _now: MonoMs, service: &ServiceName) -> bool {
        let (mut in_flight, mut slots) = (0, 0);
        for entry in self.targets.ready(service) {
            in_flight += self.calls.in_flight(&entry.id);
            slots += entry.slots.max(1);
        }
        f64::from(in_flight) > BUSY_SHARE * f64::from(slots)
    }

    /// Counts the answer time of a target that served a call.
    pub(super) fn record_answer_time(&mut self, now: MonoMs, target: &TargetId, took_ms: f64) {
        if let Some(entry) = self.targets.entry(target) {
            let answers = self.hedges.answers.entry(entry.service.clone());
            answers.or_default().record(now, took_ms);
        }
    }

    /// Counts a call towards the limit of hedges if it may be hedged. Called once per call, before it is sent.
    pub fn record_hedgeable_call(&mut self, service: &ServiceName, route: &Route) {
        if self.may_hedge(service, route, 0) {
            self.hedges.limit.record_call();
        }
    }

    /// Returns the time after which a call that was sent `sends` times is sent to a second target; `None` if it is
    /// not to be sent to one.
    pub fn hedge_delay(
        &self,
        now: MonoMs,
        service: &ServiceName,
        route: &Route,
        sends: u32,
    ) -> Option<HedgeDelay> {
        self.may_hedge(service, route, sends)
            .then(|| HedgeDelay::new(self.late_answer_ms(now, service), route.objective_ms))
    }

    fn may_hedge(&self, service: &ServiceName, route: &Route, sends: u32) -> bool {
        self.mechanisms.is_enabled(Mechanism::Hedging)
            && self.spec_of_service(service).is_none()
            && can_be_hedged(route, sends)
    }

    /// Chooses a second target for a late call, takes a retry out of the budget and records the call as sent to the
    /// target.
    ///
    /// # Errors
    /// A [`HedgeDenial`]; nothing was recorded.
    pub fn place_hedge(
        &mut self,
        now: MonoMs,
        request: &CallRequest<'_>,
    ) -> Result<CallPlacement, HedgeDenial> {
        if !self.hedges.limit.allows_hedge() {
            return Err(HedgeDenial::AtLimit);
        }
        if self.is_service_busy(now, request.service) {
            return Err(HedgeDenial::Busy);
        }
        // An unreachable target is chosen only if all others are unreachable too.
        let target = self
            .choose_call_target(now, request)
            .filter(|target| !self.is_unreachable(now, &target.id))
            .ok_or(HedgeDenial::NoTarget)?;
        self.admit_request(now, request.service, request.fingerprint, true)
            .map_err(HedgeDenial::Refused)?;
        self.hedges.limit.record_hedge();
        self.calls.record_sent(&target.id);
        Ok(CallPlacement { target })
    }

    /// Records that an attempt was cancelled after `waited_ms` because another one succeeded, which took
    /// `winner_ms`.
    pub fn record_call_overtaken(
        &mut self,
        now: MonoMs,
        target: &TargetId,
        waited_ms: f64,
        winner_ms: f64,
    ) {
        self.calls
            .record_overtaken(now, target, waited_ms, winner_ms);
    }
}
