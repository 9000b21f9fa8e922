use crate::time::MonoMs;

/// Gap between two ticks above which this process is considered to have been paused, in ms. The core
/// applies the same to any two events, for its view of the targets.
const PAUSE_THRESHOLD_MS: u64 = 2_000;
/// Maximum penalty; silence timeouts grow by at most this many times their base.
const MAX_PENALTY: u64 = 4;
/// Time without a further pause after which the penalty falls by one, in ms.
const PENALTY_DECAY_MS: u64 = 30_000;

/// Local health of this daemon, as in Lifeguard, the extension of the SWIM membership protocol: a
/// process that was paused received nothing and would otherwise suspect all others. Each pause adds
/// to a penalty that lengthens the silence timeouts.
#[derive(Debug, Default)]
pub(super) struct LocalHealth {
    penalty: u64,
    changed_at: MonoMs,
    last_tick_at: Option<MonoMs>,
}

impl LocalHealth {
    /// Records a tick. Returns whether this process was paused before it.
    pub fn tick(&mut self, now: MonoMs) -> bool {
        let last = self.last_tick_at.replace(now).unwrap_or(now);
        if self.penalty > 0 && now.since(self.changed_at) > PENALTY_DECAY_MS {
            self.penalty -= 1;
            self.changed_at = now;
        }
        now.since(last) > PAUSE_THRESHOLD_MS
    }

    /// Raises the penalty by one, up to the maximum.
    pub fn add_penalty(&mut self, now: MonoMs) {
        self.penalty = (self.penalty + 1).min(MAX_PENALTY);
        self.changed_at = now;
    }

    /// Returns the current penalty, from 0 (healthy) up to the maximum.
    pub fn penalty(&self) -> u64 {
        self.penalty
    }
}
