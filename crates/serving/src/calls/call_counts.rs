use whinlatch_core::MonoMs;

/// Time in which the weight of a call halves, in ms. At 18 calls per second to seven targets, each has a weight of
/// 15 calls: enough to compare failure shares, and a target that begins to fail is detected within seconds.
const HALF_LIFE_MS: f64 = 4_000.0;

/// Number of calls and of those that failed or stayed unanswered, in which old calls decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallCounts {
    calls: f64,
    failed: f64,
    updated_at: MonoMs,
}

impl CallCounts {
    /// Number of calls of which the failures of fewer calls count as a share, since they say little of the target.
    const MIN_CALLS: f64 = 8.0;

    /// Counts `calls` calls, of which `failed` failed or stayed unanswered.
    pub fn add(&mut self, now: MonoMs, calls: u32, failed: u32) {
        let decay = self.decay(now);
        self.calls = self.calls * decay + f64::from(calls);
        self.failed = self.failed * decay + f64::from(failed);
        self.updated_at = now;
    }

    /// Returns the share of the calls of the last seconds that failed or stayed unanswered, from 0 to 1.
    pub fn failure_share(self, now: MonoMs) -> f64 {
        let decay = self.decay(now);
        self.failed * decay / (self.calls * decay).max(Self::MIN_CALLS)
    }

    fn decay(self, now: MonoMs) -> f64 {
        0.5_f64.powf(now.since(self.updated_at) as f64 / HALF_LIFE_MS)
    }
}
