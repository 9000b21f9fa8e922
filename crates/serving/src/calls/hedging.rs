use crate::{
    catalog::{RetryPolicy, Route},
    serving::Refusal,
};

/// Share of the objective before which no call is hedged: a service that usually answers faster than that gains
/// nothing, since its callers are served on time anyway.
const MIN_DELAY_SHARE: f64 = 0.25;
/// Share of the objective after which a call is hedged at the latest, so that the second target has time to
/// answer within the objective.
const MAX_DELAY_SHARE: f64 = 0.75;
/// Share of the objective after which a call is hedged while the service's answer times aren't known.
const DEFAULT_DELAY_SHARE: f64 = 0.5;
/// Calls that allow one hedge.
const CALLS_PER_HEDGE: u32 = 5;
/// Hedges that may follow each other without calls between them.
const MAX_BURST: u32 = 2;

/// Returns whether a call of a route may have a second attempt while the first one is in flight, after it was sent
/// `sends` times.
pub fn can_be_hedged(route: &Route, sends: u32) -> bool {
    route.retry_policy == RetryPolicy::Idempotent
        && route.objective_ms > 0
        && sends < route.max_attempts
}

/// Time after which a call that isn't answered is sent to a second target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeDelay {
    /// The time, counted from the first attempt, in ms.
    pub ms: u64,
    /// Answer time of the service from which it follows, in ms; `None` if too few answers are known.
    pub late_answer_ms: Option<f64>,
}

impl HedgeDelay {
    /// Returns the delay for a service whose answers are late after `late_answer_ms`, and a route with this
    /// objective.
    pub fn new(late_answer_ms: Option<f64>, objective_ms: u64) -> Self {
        let objective_ms = objective_ms as f64;
        let delay_ms = late_answer_ms.map_or(DEFAULT_DELAY_SHARE * objective_ms, |late_ms| {
            late_ms.clamp(
                MIN_DELAY_SHARE * objective_ms,
                MAX_DELAY_SHARE * objective_ms,
            )
        });
        Self {
            ms: delay_ms.round() as u64,
            late_answer_ms,
        }
    }
}

/// Reason for which a late call isn't sent to a second target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HedgeDenial {
    /// The instance has hedged its share of calls.
    AtLimit,
    /// The service is busy, so that second attempts would delay other calls.
    Busy,
    /// No other target that is reachable takes requests.
    NoTarget,
    /// The request is poison, or the fleet's retry budget is used up.
    Refused(Refusal),
}

/// Limits the hedges of an instance to a share of its idempotent calls, so that a service whose targets are all
/// slow gets little more load.
///
/// It counts in credits: a call adds one, a hedge takes `CALLS_PER_HEDGE`.
#[derive(Debug)]
pub struct HedgeLimit {
    credits: u32,
}

impl Default for HedgeLimit {
    fn default() -> Self {
        Self {
            credits: Self::MAX_CREDITS,
        }
    }
}

impl HedgeLimit {
    const MAX_CREDITS: u32 = MAX_BURST * CALLS_PER_HEDGE;

    /// Counts a call that may be hedged.
    pub fn record_call(&mut self) {
        self.credits = (self.credits + 1).min(Self::MAX_CREDITS);
    }

    /// Returns whether a hedge is allowed now.
    pub fn allows_hedge(&self) -> bool {
        self.credits >= CALLS_PER_HEDGE
    }

    /// Counts a hedge.
    pub fn record_hedge(&mut self) {
        self.credits = self.credits.saturating_sub(CALLS_PER_HEDGE);
    }
}
