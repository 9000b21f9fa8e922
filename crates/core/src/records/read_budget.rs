use crate::time::MonoMs;

/// Maximum number of reads saved up, so that a starting daemon can read the list and the records
/// without delay.
const BURST: f64 = 3.0;

/// Token bucket for this daemon's share of the platform reads that the policy record allows the
/// whole fleet.
#[derive(Debug)]
pub(super) struct ReadBudget {
    available: f64,
    refilled_at: MonoMs,
}

impl ReadBudget {
    pub fn new(now: MonoMs) -> Self {
        Self {
            available: BURST,
            refilled_at: now,
        }
    }

    /// Takes one read from the budget. Returns false if none is available now.
    pub fn take(&mut self, now: MonoMs, reads_per_s: f64) -> bool {
        let refill = now.since(self.refilled_at) as f64 / 1_000.0 * reads_per_s;
        self.available = (self.available + refill).min(BURST);
        self.refilled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
