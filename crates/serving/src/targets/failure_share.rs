use whinlatch_core::MonoMs;

/// Weight of the newest result: a target that starts failing is detected after a handful of requests.
const NEWEST_WEIGHT: f64 = 0.2;
/// Time constant with which past failures decay, in ms, so that a target that recovered is tried again.
const DECAY_MS: f64 = 2_000.0;

/// Moving average of the share of a target's requests that it failed.
///
/// It is compared only with that of other targets, never with a threshold: where all targets fail some
/// requests, as when connections are reset everywhere, none is worse than another and all are used.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureShare {
    share: f64,
    updated_at: MonoMs,
}

impl FailureShare {
    /// Records the end of a request; `failed` if the target didn't serve it.
    pub fn record(&mut self, now: MonoMs, failed: bool) {
        let newest = f64::from(u8::from(failed));
        let former = self.at(now);
        self.share = former + NEWEST_WEIGHT * (newest - former);
        self.updated_at = now;
    }

    /// Returns the expected share of failed requests at `now`, from 0 to 1.
    pub fn at(self, now: MonoMs) -> f64 {
        let age_ms = now.since(self.updated_at) as f64;
        self.share * (-age_ms / DECAY_MS).exp()
    }
}
