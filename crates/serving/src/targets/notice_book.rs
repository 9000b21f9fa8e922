use {
    super::TargetNotice, crate::names::TargetId, std::collections::HashMap, whinlatch_core::MonoMs,
};

/// What the targets have said of themselves in their answers.
#[derive(Debug, Default)]
pub struct NoticeBook {
    limits: HashMap<TargetId, Limit>,
    leaving: HashMap<TargetId, MonoMs>,
    paused_until: HashMap<TargetId, MonoMs>,
}

#[derive(Debug, Clone, Copy)]
struct Limit {
    per_s: f64,
    heard_at: MonoMs,
}

impl NoticeBook {
    /// Takes in what an answer to a request of `sent_at` says. Returns whether that is news.
    ///
    /// An answer to a request that was sent before a limit was heard of doesn't lift it: answers on
    /// different connections overtake each other.
    pub fn answered(
        &mut self,
        now: MonoMs,
        sent_at: MonoMs,
        target: &TargetId,
        notice: &TargetNotice,
    ) -> bool {
        let is_new_limit = self.note_limit(now, sent_at, target, notice.limit_per_s);
        let is_new_leaving = notice.is_leaving && self.note_leaving(now, target);
        if let Some(retry_after_ms) = notice.retry_after_ms {
            self.pause(target, now + retry_after_ms);
        }
        is_new_limit || is_new_leaving || notice.retry_after_ms.is_some()
    }

    fn note_limit(
        &mut self,
        now: MonoMs,
        sent_at: MonoMs,
        target: &TargetId,
        limit_per_s: Option<f64>,
    ) -> bool {
        let known = self.limits.get(target).copied();
        let Some(per_s) = limit_per_s else {
            let is_lifted = known.is_some_and(|limit| sent_at > limit.heard_at);
            if is_lifted {
                self.limits.remove(target);
            }
            return is_lifted;
        };
        let heard_at = now;
        self.limits
            .insert(target.clone(), Limit { per_s, heard_at });
        known.is_none_or(|limit| limit.per_s.to_bits() != per_s.to_bits())
    }

    fn note_leaving(&mut self, now: MonoMs, target: &TargetId) -> bool {
        self.leaving.insert(target.clone(), now).is_none()
    }

    fn pause(&mut self, target: &TargetId, until: MonoMs) {
        let paused_until = self.paused_until.entry(target.clone()).or_default();
        *paused_until = until.max(*paused_until);
    }

    /// Forgets targets that aren't published any more, and pauses that are over.
    pub fn forget_old(&mut self, now: MonoMs, is_published: impl Fn(&str) -> bool) {
        self.limits.retain(|id, _| is_published(id));
        self.leaving.retain(|id, _| is_published(id));
        self.paused_until.retain(|_, until| *until > now);
    }
}
