use {
    super::TokenBucket, crate::names::TargetId, std::collections::HashMap, whinlatch_core::MonoMs,
};

/// Time for which an unused bucket is kept, in ms.
const BUCKET_RETENTION_MS: u64 = 60_000;

/// Buckets from which this instance grants permits, and refusals that it received itself.
#[derive(Debug, Default)]
pub struct QuotaTable {
    buckets: HashMap<TargetId, TokenBucket>,
    refused_until: HashMap<TargetId, MonoMs>,
}

impl QuotaTable {
    /// Returns the bucket from which permits for a target are granted; creates it if there is none.
    pub fn bucket(&mut self, now: MonoMs, target: &TargetId) -> &mut TokenBucket {
        self.buckets
            .entry(target.clone())
            .or_insert_with(|| TokenBucket::new(now))
    }

    /// Records that no request may be sent to a target for a time, in ms.
    pub fn record_refusal(&mut self, now: MonoMs, target: &TargetId, wait_ms: u64) {
        self.refused_until.insert(target.clone(), now + wait_ms);
    }

    /// Returns the time until which no request may be sent to a target; `None` if there is no refusal or it
    /// has expired.
    pub fn refused_until(&self, now: MonoMs, target: &str) -> Option<MonoMs> {
        let until = self.refused_until.get(target).copied();
        until.filter(|until| *until > now)
    }

    /// Returns the targets with a refusal that has not been evicted yet.
    pub fn refused_targets(&self) -> impl Iterator<Item = &TargetId> {
        self.refused_until.keys()
    }

    /// Removes expired refusals and unused buckets.
    pub fn evict_expired(&mut self, now: MonoMs) {
        self.buckets
            .retain(|_, bucket| bucket.idle_ms(now) < BUCKET_RETENTION_MS);
        self.refused_until.retain(|_, until| *until > now);
    }
}
