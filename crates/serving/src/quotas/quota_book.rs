use {
    super::TokenBucket, crate::names::TargetId, std::collections::HashMap, whinlatch_core::MonoMs,
};

/// Time for which a bucket is kept of which nobody takes, in ms.
const KEPT_MS: u64 = 60_000;

/// What this instance has granted for others and itself, and what it was refused.
#[derive(Debug, Default)]
pub struct QuotaBook {
    buckets: HashMap<TargetId, TokenBucket>,
    refused_until: HashMap<TargetId, MonoMs>,
}

impl QuotaBook {
    /// The bucket from which requests to a target are granted.
    pub fn bucket(&mut self, now: MonoMs, target: &TargetId) -> &mut TokenBucket {
        self.buckets
            .entry(target.clone())
            .or_insert_with(|| TokenBucket::new(now))
    }

    /// Notes that nothing may be sent to a target for a while.
    pub fn refuse(&mut self, now: MonoMs, target: &TargetId, wait_ms: u64) {
        self.refused_until.insert(target.clone(), now + wait_ms);
    }

    /// Until when nothing may be sent to a target, if that was refused and isn't over.
    pub fn refused_until(&self, now: MonoMs, target: &str) -> Option<MonoMs> {
        let until = self.refused_until.get(target).copied();
        until.filter(|until| *until > now)
    }

    /// The targets to which something was refused of late.
    pub fn refused(&self) -> impl Iterator<Item = &TargetId> {
        self.refused_until.keys()
    }

    /// Forgets what is over, and buckets that nobody takes from.
    pub fn forget_old(&mut self, now: MonoMs) {
        self.buckets
            .retain(|_, bucket| bucket.rested_ms(now) < KEPT_MS);
        self.refused_until.retain(|_, until| *until > now);
    }
}
