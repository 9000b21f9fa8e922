use {
    super::{TargetLimit, TargetNotice},
    crate::names::TargetId,
    std::collections::HashMap,
    whinlatch_core::MonoMs,
};

/// Longest pause that a target may ask for, in ms; a longer one is cut down.
const MOST_PAUSE_MS: u64 = 60_000;

/// Time for which a limit is taken to hold before the target is asked whether it does, in ms.
const CONFIRMED_MS: u64 = 5_000;
/// Time for which the word of a peer may come before the entry that it is about, in ms.
const AHEAD_OF_ENTRY_MS: u64 = 10_000;

/// What the targets have said of themselves in their answers.
#[derive(Debug, Default)]
pub struct NoticeBook {
    limits: HashMap<TargetId, Heard>,
    paused_until: HashMap<TargetId, MonoMs>,
}

/// What was heard last of a target's limit, also that it names none any more.
#[derive(Debug, Clone)]
struct Heard {
    limit: TargetLimit,
    at: MonoMs,
}

impl NoticeBook {
    /// Takes in the limit that an answer to a request of `sent_at` names, if any. Returns what is news.
    ///
    /// An answer to a request that was sent before a limit was heard of doesn't lift it: answers on
    /// different connections overtake each other.
    pub fn answered(
        &mut self,
        now: MonoMs,
        sent_at: MonoMs,
        target: &TargetId,
        notice: &TargetNotice,
    ) -> Option<TargetLimit> {
        let known = self.limits.get_mut(target);
        let per_s = known.as_ref().and_then(|heard| heard.limit.per_s);
        if per_s == notice.limit_per_s {
            if let Some(heard) = known {
                heard.at = now;
            }
            return None;
        }
        let is_older = known.as_ref().is_some_and(|heard| sent_at <= heard.at);
        if notice.limit_per_s.is_none() && is_older {
            return None;
        }
        let limit = TargetLimit {
            target: target.clone(),
            per_s: notice.limit_per_s,
            version: known.map_or(0, |heard| heard.limit.version) + 1,
        };
        self.hear(now, limit.clone());
        Some(limit)
    }

    /// Takes in the limit of a target, which a peer tells. Returns whether that is news.
    pub fn told_limit(&mut self, now: MonoMs, limit: &TargetLimit) -> bool {
        let known = self.limits.get(&limit.target);
        let is_news = known.is_none_or(|heard| limit.is_after(&heard.limit));
        if is_news {
            self.hear(now, limit.clone());
        }
        is_news
    }

    fn hear(&mut self, now: MonoMs, limit: TargetLimit) {
        let heard = Heard { limit, at: now };
        self.limits.insert(heard.limit.target.clone(), heard);
    }

    /// What is known of the limits of all targets.
    pub fn limits(&self) -> Vec<TargetLimit> {
        let limits = self.limits.values();
        limits.map(|heard| heard.limit.clone()).collect()
    }

    /// Requests a second that a target takes from all instances together, if it names a limit.
    pub fn limit_per_s(&self, target: &str) -> Option<f64> {
        self.limits.get(target)?.limit.per_s
    }

    /// Whether an answer or a peer told of late that a target names a limit.
    pub fn is_limit_confirmed(&self, now: MonoMs, target: &str) -> bool {
        self.limits
            .get(target)
            .is_some_and(|heard| heard.limit.per_s.is_some() && now.since(heard.at) < CONFIRMED_MS)
    }

    /// Notes that a target wants nothing from this instance for a while.
    pub fn pause(&mut self, now: MonoMs, target: &TargetId, for_ms: u64) {
        let until = now + for_ms.min(MOST_PAUSE_MS);
        let paused_until = self.paused_until.entry(target.clone()).or_default();
        *paused_until = until.max(*paused_until);
    }

    /// Until when a target wants nothing from this instance, if that isn't over.
    pub fn paused_until(&self, now: MonoMs, target: &str) -> Option<MonoMs> {
        let until = self.paused_until.get(target).copied();
        until.filter(|until| *until > now)
    }

    /// The targets that have asked this instance for a pause of late.
    pub fn paused(&self) -> impl Iterator<Item = &TargetId> {
        self.paused_until.keys()
    }

    /// Forgets targets that aren't published, unless they may be soon, and pauses that are over.
    pub fn forget_old(&mut self, now: MonoMs, is_published: impl Fn(&str) -> bool) {
        self.limits
            .retain(|id, heard| is_published(id) || now.since(heard.at) < AHEAD_OF_ENTRY_MS);
        self.paused_until.retain(|_, until| *until > now);
    }
}
