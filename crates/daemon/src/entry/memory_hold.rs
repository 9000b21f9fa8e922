use {
    std::sync::atomic::{AtomicU64, Ordering},
    whinlatch_core::MonoMs,
    whinlatch_serving::targets::TargetEntry,
};

/// Memory that is set aside at one engine.
#[derive(Debug)]
pub struct MemoryHold {
    /// The engine.
    pub engine: TargetEntry,
    /// Tokens that fit into it.
    pub tokens: u64,
    ordered_at_ms: AtomicU64,
    lapses_at_ms: AtomicU64,
}

impl MemoryHold {
    /// Memory that hasn't been ordered yet.
    pub fn new(engine: &TargetEntry, tokens: u64) -> Self {
        Self {
            engine: engine.clone(),
            tokens,
            ordered_at_ms: AtomicU64::new(0),
            lapses_at_ms: AtomicU64::new(0),
        }
    }

    /// Notes the order to set it aside for so long.
    pub fn note_order(&self, now: MonoMs, hold_ms: u64) {
        self.ordered_at_ms.store(now.0, Ordering::Relaxed);
        self.lapses_at_ms.store(now.0 + hold_ms, Ordering::Relaxed);
    }

    /// Time since the last order, in ms.
    pub fn age_ms(&self, now: MonoMs) -> u64 {
        now.since(MonoMs(self.ordered_at_ms.load(Ordering::Relaxed)))
    }

    /// When it lapses, by the last order.
    pub fn lapses_at(&self) -> MonoMs {
        MonoMs(self.lapses_at_ms.load(Ordering::Relaxed))
    }
}
