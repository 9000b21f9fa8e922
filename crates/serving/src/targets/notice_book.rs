use {
    super::TargetNotice,
    crate::names::TargetId,
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
    whinlatch_core::MonoMs,
};

/// Longest pause that a target may ask for, in ms; a longer one is cut down.
const MOST_PAUSE_MS: u64 = 60_000;

/// What is told of the limit that a target has named.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetLimit {
    /// The target.
    pub target: TargetId,
    /// Requests a second that it takes from all instances together; `None` if it names no limit any more.
    pub per_s: Option<f64>,
}

/// What the targets have said of themselves in their answers.
#[derive(Debug, Default)]
pub struct NoticeBook {
    limits: HashMap<TargetId, Limit>,
    paused_until: HashMap<TargetId, MonoMs>,
}

#[derive(Debug, Clone, Copy)]
struct Limit {
    per_s: f64,
    heard_at: MonoMs,
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
        let known = self.limits.get(target);
        let is_older = known.is_some_and(|limit| sent_at <= limit.heard_at);
        if notice.limit_per_s.is_none() && is_older {
            return None;
        }
        let limit = TargetLimit {
            target: target.clone(),
            per_s: notice.limit_per_s,
        };
        self.told_limit(now, target, notice.limit_per_s)
            .then_some(limit)
    }

    /// Takes in the limit of a target, which a peer tells. Returns whether that is news.
    pub fn told_limit(&mut self, now: MonoMs, target: &TargetId, per_s: Option<f64>) -> bool {
        let former = match per_s {
            Some(per_s) => {
                let limit = Limit {
                    per_s,
                    heard_at: now,
                };
                self.limits.insert(target.clone(), limit)
            }
            None => self.limits.remove(target),
        };
        former.map(|limit| limit.per_s) != per_s
    }

    /// The limits of all targets that have named one.
    pub fn limits(&self) -> Vec<TargetLimit> {
        let limits = self.limits.iter();
        limits
            .map(|(target, limit)| TargetLimit {
                target: target.clone(),
                per_s: Some(limit.per_s),
            })
            .collect()
    }

    /// Requests a second that a target takes from all instances together, if it has named a limit.
    pub fn limit_per_s(&self, target: &str) -> Option<f64> {
        self.limits.get(target).map(|limit| limit.per_s)
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

    /// Forgets targets that aren't published any more, and pauses that are over.
    pub fn forget_old(&mut self, now: MonoMs, is_published: impl Fn(&str) -> bool) {
        self.limits.retain(|id, _| is_published(id));
        self.paused_until.retain(|_, until| *until > now);
    }
}
