use whinlatch_core::MonoMs;

/// Time in which the weight of a call halves, in ms. At 18 calls per second to seven targets, each has a weight of
/// 15 calls: enough to compare failure shares, and a target that begins to fail is detected within seconds.
const HALF_LIFE_MS: f64 = 4_000.0;

/// Share of the weight of all former calls that remains after a call, in the share by which targets are ejected: it
/// covers some twenty calls. With twelve, targets that fail 14 % of their calls by nature were ejected within a minute.
const REMAINING_AFTER_CALL: f64 = 19.0 / 20.0;
/// Time in which that weight halves without calls, in ms. A target that failed gets a call in some seconds.
const WINDOW_HALF_LIFE_MS: f64 = 60_000.0;
/// Weight of eight calls within some seconds.
const MIN_WINDOW_WEIGHT: f64 = 6.4;

/// Number of calls and of those that failed or stayed unanswered, in which old calls decay.
///
/// The costs of targets use a share that decays by time, so that a target that failed is tried again within seconds.
/// Ejection uses a share that decays mostly by calls: a target that failed gets few, and the former share would never
/// cover enough of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallCounts {
    calls: f64,
    failed: f64,
    window_calls: f64,
    window_failed: f64,
    updated_at: MonoMs,
}

impl CallCounts {
    /// Number of calls of which the failures of fewer calls count as a share, since they say little of the target.
    const MIN_CALLS: f64 = 8.0;

    /// Counts `calls` calls, of which `failed` failed or stayed unanswered.
    pub fn add(&mut self, now: MonoMs, calls: u32, failed: u32) {
        let remaining = REMAINING_AFTER_CALL.powf(f64::from(calls));
        let window_decay = self.decay(now, WINDOW_HALF_LIFE_MS) * remaining;
        // The sum of a geometric series: each of the calls counts for less after those that follow it.
        let each = (1.0 - remaining) / (1.0 - REMAINING_AFTER_CALL) / f64::from(calls.max(1));
        self.window_calls = self.window_calls * window_decay + each * f64::from(calls);
        self.window_failed = self.window_failed * window_decay + each * f64::from(failed);
        let decay = self.decay(now, HALF_LIFE_MS);
        self.calls = self.calls * decay + f64::from(calls);
        self.failed = self.failed * decay + f64::from(failed);
        self.updated_at = now;
    }

    /// Returns whether enough calls are counted to compare the failure share with that of other targets.
    pub fn is_known(self, now: MonoMs) -> bool {
        self.window_calls * self.decay(now, WINDOW_HALF_LIFE_MS) >= MIN_WINDOW_WEIGHT
    }

    /// Returns the share of the last calls, some twenty, that failed or stayed unanswered, from 0 to 1.
    pub fn window_share(self) -> f64 {
        self.window_failed / self.window_calls.max(MIN_WINDOW_WEIGHT)
    }

    /// Returns the share of the calls of the last seconds that failed or stayed unanswered, from 0 to 1.
    pub fn failure_share(self, now: MonoMs) -> f64 {
        let decay = self.decay(now, HALF_LIFE_MS);
        self.failed * decay / (self.calls * decay).max(Self::MIN_CALLS)
    }

    fn decay(self, now: MonoMs, half_life_ms: f64) -> f64 {
        0.5_f64.powf(now.since(self.updated_at) as f64 / half_life_ms)
    }
}
