use {
    super::{TargetLimit, TargetNotice},
    crate::names::TargetId,
    std::collections::HashMap,
    whinlatch_core::MonoMs,
};

/// Maximum pause that a target may request, in ms; longer ones are capped.
const MAX_PAUSE_MS: u64 = 60_000;

/// Time for which a limit counts as confirmed after the target or a peer last stated it, in ms. After that,
/// the reports of a limited engine are read again, which shows whether the limit still holds.
const LIMIT_CONFIRMED_TTL_MS: u64 = 5_000;
/// Time for which the limit of an unpublished target is kept, in ms: a peer's message may arrive before
/// the entry that it refers to.
const UNPUBLISHED_LIMIT_TTL_MS: u64 = 10_000;

/// Rate limits and pauses that targets announced in their answers.
#[derive(Debug, Default)]
pub struct TargetNotices {
    limits: HashMap<TargetId, KnownLimit>,
    paused_until: HashMap<TargetId, MonoMs>,
}

/// The latest limit of a target, or that it no longer has one.
#[derive(Debug, Clone)]
struct KnownLimit {
    limit: TargetLimit,
    received_at: MonoMs,
}

impl TargetNotices {
    /// Applies the limit, or its absence, from an answer to a request sent at `sent_at`. Returns the new
    /// limit if it differs from the known one.
    ///
    /// An answer to a request that was sent before a limit was received doesn't lift that limit: answers on
    /// different connections overtake each other.
    pub fn apply_answer(
        &mut self,
        now: MonoMs,
        sent_at: MonoMs,
        target: &TargetId,
        notice: &TargetNotice,
    ) -> Option<TargetLimit> {
        let known = self.limits.get_mut(target);
        let per_s = known.as_ref().and_then(|known| known.limit.per_s);
        if per_s == notice.limit_per_s {
            if let Some(known) = known {
                known.received_at = now;
            }
            return None;
        }
        let is_older = known
            .as_ref()
            .is_some_and(|known| sent_at <= known.received_at);
        if notice.limit_per_s.is_none() && is_older {
            return None;
        }
        let limit = TargetLimit {
            target: target.clone(),
            per_s: notice.limit_per_s,
            version: known.map_or(0, |known| known.limit.version) + 1,
        };
        self.insert_limit(now, limit.clone());
        Some(limit)
    }

    /// Applies a target's limit that a peer sent. Returns whether it replaced the known one.
    pub fn apply_peer_limit(&mut self, now: MonoMs, limit: &TargetLimit) -> bool {
        let known = self.limits.get(&limit.target);
        let is_news = known.is_none_or(|known| limit.supersedes(&known.limit));
        if is_news {
            self.insert_limit(now, limit.clone());
        }
        is_news
    }

    fn insert_limit(&mut self, now: MonoMs, limit: TargetLimit) {
        let known = KnownLimit {
            limit,
            received_at: now,
        };
        self.limits.insert(known.limit.target.clone(), known);
    }

    /// Returns the known limits of all targets, including lifted ones, for a peer that has just linked.
    pub fn limits(&self) -> Vec<TargetLimit> {
        let limits = self.limits.values();
        limits.map(|known| known.limit.clone()).collect()
    }

    /// Returns a target's limit in requests per second for all instances together; `None` if it has none.
    pub fn limit_per_s(&self, target: &str) -> Option<f64> {
        self.limits.get(target)?.limit.per_s
    }

    /// Returns whether a target has a limit that an answer or a peer reported within
    /// `LIMIT_CONFIRMED_TTL_MS`.
    pub fn is_limit_confirmed(&self, now: MonoMs, target: &str) -> bool {
        self.limits.get(target).is_some_and(|known| {
            known.limit.per_s.is_some() && now.since(known.received_at) < LIMIT_CONFIRMED_TTL_MS
        })
    }

    /// Records that a target asked this instance to pause for `for_ms`. Never shortens a running pause.
    pub fn pause(&mut self, now: MonoMs, target: &TargetId, for_ms: u64) {
        let until = now + for_ms.min(MAX_PAUSE_MS);
        let paused_until = self.paused_until.entry(target.clone()).or_default();
        *paused_until = until.max(*paused_until);
    }

    /// Returns when the pause that a target asked of this instance ends; `None` if there is none.
    pub fn paused_until(&self, now: MonoMs, target: &str) -> Option<MonoMs> {
        let until = self.paused_until.get(target).copied();
        until.filter(|until| *until > now)
    }

    /// Returns the targets that asked this instance to pause, including pauses that ended since the last
    /// eviction.
    pub fn paused_targets(&self) -> impl Iterator<Item = &TargetId> {
        self.paused_until.keys()
    }

    /// Evicts pauses that are over and the limits of unpublished targets, except recent ones, whose entry
    /// may still arrive.
    pub fn evict_expired(&mut self, now: MonoMs, is_published: impl Fn(&str) -> bool) {
        self.limits.retain(|id, known| {
            is_published(id) || now.since(known.received_at) < UNPUBLISHED_LIMIT_TTL_MS
        });
        self.paused_until.retain(|_, until| *until > now);
    }
}
