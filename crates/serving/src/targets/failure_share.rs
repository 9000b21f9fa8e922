use whinlatch_core::MonoMs;

/// Weight of the newest answer: a target that turns bad is noticed after a handful of requests.
const NEWEST_WEIGHT: f64 = 0.2;
/// Time constant with which failures are forgotten, in ms, so that a mended target is tried again.
const FORGET_MS: f64 = 2_000.0;

/// How many of a target's last requests it failed.
///
/// It is compared with that of other targets and never with a limit: where all of them fail some, as
/// when connections are reset everywhere, none is worse than another and all are used.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureShare {
    share: f64,
    judged_at: MonoMs,
}

impl FailureShare {
    /// Notes the end of a request; `failed` if the target didn't serve it.
    pub fn note(&mut self, now: MonoMs, failed: bool) {
        let newest = f64::from(u8::from(failed));
        let former = self.at(now);
        self.share = former + NEWEST_WEIGHT * (newest - former);
        self.judged_at = now;
    }

    /// Share of requests that it is expected to fail now, from 0 to 1.
    pub fn at(self, now: MonoMs) -> f64 {
        let age_ms = now.since(self.judged_at) as f64;
        self.share * (-age_ms / FORGET_MS).exp()
    }
}
