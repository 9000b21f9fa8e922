//! Second attempts of late calls.

use {
    super::{CallPlacement, CallRequest, Serving, requests::Admission},
    crate::{
        calls::{CallOutcome, HedgeDelay, HedgeDenial, can_be_hedged},
        catalog::Route,
        mechanism::Mechanism,
        names::{ServiceName, TargetId},
    },
    whinlatch_core::MonoMs,
};

impl Serving {
    /// Counts a call towards the limit of hedges if it may be hedged. Called once per call, before it is sent.
    pub fn record_hedgeable_call(&mut self, service: &ServiceName, route: &Route) {
        if self.may_hedge(service, route, 0) {
            self.hedge_limit.record_call();
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
        if !self.hedge_limit.allows_hedge() {
            return Err(HedgeDenial::AtLimit);
        }
        if self.is_service_busy(request.service) {
            return Err(HedgeDenial::Busy);
        }
        // An unreachable target is chosen only if all others are unreachable too.
        let target = self
            .choose_call_target(now, request)
            .filter(|target| !self.is_unreachable(now, &target.id))
            .ok_or(HedgeDenial::NoTarget)?;
        let admission = Admission {
            is_repeat: true,
            ..request.admission()
        };
        self.admit_request(now, &admission)
            .map_err(HedgeDenial::Refused)?;
        self.hedge_limit.record_hedge();
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
        let has_failed = self
            .calls
            .record_overtaken(now, target, waited_ms, winner_ms);
        if has_failed {
            self.record_shared_outcome(now, target, CallOutcome::Unanswered);
        }
    }
}
