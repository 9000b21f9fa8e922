use whinlatch_core::MonoMs;

/// Time constant of the average, in ms: loads change within some ten seconds, and a single large prompt
/// is worth a few seconds of many engines.
const AVERAGING_MS: f64 = 4_000.0;
/// Maximum utilization that is reported, so that the cost of a second of engine time stays finite.
const MAX_UTILIZATION: f64 = 0.95;

/// Exponentially decaying sum of the reading that a group's engines were assigned recently.
#[derive(Debug, Default)]
pub struct WorkRate {
    work_ms: f64,
    updated_at: MonoMs,
}

impl WorkRate {
    /// Adds assigned reading, in ms of one engine.
    pub fn add(&mut self, now: MonoMs, work_ms: f64) {
        self.advance(now);
        self.work_ms += work_ms;
    }

    /// Subtracts reading that was assigned at `assigned_at` and won't be done.
    pub fn subtract(&mut self, assigned_at: MonoMs, work_ms: f64) {
        let passed_ms = self.updated_at.since(assigned_at) as f64;
        let left_ms = self.work_ms - work_ms * (-passed_ms / AVERAGING_MS).exp();
        self.work_ms = left_ms.max(0.0);
    }

    /// Returns the share of the time of `engines` that assigned reading takes, from 0 to `MAX_UTILIZATION`.
    pub fn utilization(&mut self, now: MonoMs, engines: usize) -> f64 {
        self.advance(now);
        (self.work_ms / AVERAGING_MS / engines.max(1) as f64).min(MAX_UTILIZATION)
    }

    fn advance(&mut self, now: MonoMs) {
        let passed_ms = now.since(self.updated_at) as f64;
        self.updated_at = self.updated_at.max(now);
        self.work_ms *= (-passed_ms / AVERAGING_MS).exp();
    }
}
