use crate::time::MonoMs;

/// Reads that may be saved up, so that a start can read the list and the records at once.
const BURST: f64 = 3.0;

/// This daemon's share of the reads of the platform that the policy record allows the whole fleet.
#[derive(Debug)]
pub(super) struct ReadBudget {
    reads: f64,
    filled: MonoMs,
}

impl ReadBudget {
    pub fn new(now: MonoMs) -> Self {
        Self {
            reads: BURST,
            filled: now,
        }
    }

    /// Takes one read if the share allows it now.
    pub fn take(&mut self, now: MonoMs, reads_per_s: f64) -> bool {
        let gained = now.since(self.filled) as f64 / 1_000.0 * reads_per_s;
        self.reads = (self.reads + gained).min(BURST);
        self.filled = now;
        if self.reads < 1.0 {
            return false;
        }
        self.reads -= 1.0;
        true
    }
}
