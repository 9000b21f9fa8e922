use whinlatch_core::MonoMs;

/// Time over which work is averaged, in ms: loads swing within some ten seconds, and a single
/// large prompt is worth a few seconds of many engines.
const AVERAGED_MS: f64 = 4_000.0;
/// Most of the engines' time that counts as used, so that what a second costs stays finite.
const MOST_USED: f64 = 0.95;

/// How much reading the engines were given of late.
#[derive(Debug, Default)]
pub struct WorkRate {
    work_ms: f64,
    at: MonoMs,
}

impl WorkRate {
    /// Notes reading that was given, in ms of one engine.
    pub fn add(&mut self, now: MonoMs, work_ms: f64) {
        self.advance(now);
        self.work_ms += work_ms;
    }

    /// Takes back reading that was given at a moment and that nobody does.
    pub fn take_back(&mut self, given_at: MonoMs, work_ms: f64) {
        let passed_ms = self.at.since(given_at) as f64;
        let left_ms = self.work_ms - work_ms * (-passed_ms / AVERAGED_MS).exp();
        self.work_ms = left_ms.max(0.0);
    }

    /// Share of the time of `engines` that was given reading, from 0 to `MOST_USED`.
    pub fn used(&mut self, now: MonoMs, engines: usize) -> f64 {
        self.advance(now);
        (self.work_ms / AVERAGED_MS / engines.max(1) as f64).min(MOST_USED)
    }

    fn advance(&mut self, now: MonoMs) {
        let passed_ms = now.since(self.at) as f64;
        self.at = self.at.max(now);
        self.work_ms *= (-passed_ms / AVERAGED_MS).exp();
    }
}
