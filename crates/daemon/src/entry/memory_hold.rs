use {
    std::sync::atomic::{AtomicU64, Ordering},
    whinlatch_core::MonoMs,
    whinlatch_serving::targets::TargetEntry,
};

/// Memory reserved at one engine.
#[derive(Debug)]
pub struct MemoryHold {
    /// The engine as of the placement, by which a later restart is detected.
    pub engine: TargetEntry,
    /// Size of the reservation, in tokens.
    pub tokens: u64,
    ordered_at_ms: AtomicU64,
    expires_at_ms: AtomicU64,
}

impl MemoryHold {
    /// Creates a reservation that hasn't been ordered yet.
    pub fn new(engine: &TargetEntry, tokens: u64) -> Self {
        Self {
            engine: engine.clone(),
            tokens,
            ordered_at_ms: AtomicU64::new(0),
            expires_at_ms: AtomicU64::new(0),
        }
    }

    /// Records an order that reserves the memory for `hold_ms`.
    pub fn record_order(&self, now: MonoMs, hold_ms: u64) {
        self.ordered_at_ms.store(now.0, Ordering::Relaxed);
        self.expires_at_ms.store(now.0 + hold_ms, Ordering::Relaxed);
    }

    /// Time since the last order, in ms.
    pub fn age_ms(&self, now: MonoMs) -> u64 {
        now.since(MonoMs(self.ordered_at_ms.load(Ordering::Relaxed)))
    }

    /// Returns when the reservation expires after the last order.
    pub fn expires_at(&self) -> MonoMs {
        MonoMs(self.expires_at_ms.load(Ordering::Relaxed))
    }
}
