use whinlatch_core::MonoMs;

/// Time after an outage for which a removed entry may still be published again, in ms. Live targets whose entries
/// expired in the outage are back within about two seconds, as the operators promise.
const GRACE_MS: u64 = 2_300;
/// Shortest outage in which an entry can expire, in intervals of its target's heartbeats. It expires after three without
/// one, of which one may have passed before the outage; the rest allows for their variation.
const MIN_OUTAGE_INTERVALS: f64 = 1.8;
/// Interval between the heartbeats of a target until the settings are applied, in ms.
const DEFAULT_HEARTBEAT_INTERVAL_MS: u64 = 1_000;

/// Tells removals of targets that leave from those of entries that expired while the store was unavailable.
///
/// Only an outage as long as the silence after which entries expire can be the reason for a removal. A call that failed,
/// or relays that the store refuses, say nothing about the targets.
#[derive(Debug)]
pub struct StoreOutages {
    /// Shortest outage in which an entry can expire, in ms.
    min_outage_ms: u64,
    /// Whether the store didn't answer the last call.
    is_lost: bool,
    /// The last time at which the store is known to have answered, this instance or a relay that it follows.
    answered_at: Option<MonoMs>,
    /// End of the last outage in which entries may have expired.
    regained_at: Option<MonoMs>,
    /// Since when there was no such outage: its end, or the first answer.
    continuous_since: Option<MonoMs>,
}

impl Default for StoreOutages {
    fn default() -> Self {
        Self::new(DEFAULT_HEARTBEAT_INTERVAL_MS)
    }
}

impl StoreOutages {
    /// Creates the state of an instance that the store hasn't answered yet. `heartbeat_interval_ms` is that of targets.
    pub fn new(heartbeat_interval_ms: u64) -> Self {
        Self {
            min_outage_ms: (MIN_OUTAGE_INTERVALS * heartbeat_interval_ms as f64) as u64,
            is_lost: false,
            answered_at: None,
            regained_at: None,
            continuous_since: None,
        }
    }

    /// Records that the store didn't answer.
    pub fn record_failure(&mut self) {
        self.is_lost = true;
    }

    /// Records that the store answered at `at`, this instance or a relay that it follows.
    pub fn record_answer(&mut self, at: MonoMs) {
        let may_entries_have_expired = match self.answered_at {
            Some(answered_at) => at.since(answered_at) >= self.min_outage_ms,
            None => self.is_lost,
        };
        if may_entries_have_expired {
            self.regained_at = Some(at);
            self.continuous_since = Some(at);
        }
        self.continuous_since.get_or_insert(at);
        self.is_lost = false;
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// Records that the store answered a relay at `at` which is settled: what the relay knows is true of this instance
    /// from now on.
    pub fn record_settled_answer(&mut self, at: MonoMs) {
        self.is_lost = false;
        self.answered_at = self.answered_at.max(Some(at));
        self.regained_at = None;
        self.continuous_since = Some(MonoMs(at.0.saturating_sub(GRACE_MS)));
    }

    /// Returns whether all removals that are known now are those of targets that have left: no entry that expired in an
    /// outage may still be published again.
    pub fn is_settled(&self, now: MonoMs) -> bool {
        let is_old_enough = |since| now.since(since) >= GRACE_MS;
        !self.is_lost && self.continuous_since.is_some_and(is_old_enough)
    }

    /// Returns whether the store didn't answer the last call.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Returns the time before which the store must answer to show that no entry expired in an outage; `None` if it never
    /// answered.
    pub fn expiry_deadline(&self) -> Option<MonoMs> {
        Some(self.answered_at? + self.min_outage_ms)
    }

    /// Returns when the store answered again after the last outage in which entries may have expired; `None` if there
    /// was none.
    pub fn regained_at(&self) -> Option<MonoMs> {
        self.regained_at
    }

    /// Returns whether an entry that is removed now may have expired in an outage, so that it may be published again.
    pub fn may_removals_be_expired(&self, now: MonoMs) -> bool {
        self.is_lost || self.is_in_grace(now)
    }

    fn is_in_grace(&self, now: MonoMs) -> bool {
        self.regained_at
            .is_some_and(|regained_at| now.since(regained_at) < GRACE_MS)
    }
}
