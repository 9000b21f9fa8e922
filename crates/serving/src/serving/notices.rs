//! What targets say of themselves in their answers.

use {
    super::Serving,
    crate::{names::TargetId, targets::TargetNotice},
    whinlatch_core::MonoMs,
};

impl Serving {
    /// Until when a target wants nothing from this instance, if that isn't over.
    pub fn paused_until(&self, now: MonoMs, target: &str) -> Option<MonoMs> {
        self.notices.paused_until(now, target)
    }

    /// Takes in what a target says of itself in its answer to a request of `sent_at`. Returns whether
    /// that is news.
    pub fn apply_target_notice(
        &mut self,
        now: MonoMs,
        sent_at: MonoMs,
        target: &TargetId,
        notice: &TargetNotice,
    ) -> bool {
        let limit = self.notices.apply_answer(now, sent_at, target, notice);
        let leaves = notice.is_leaving && self.targets.record_leaving(now, target);
        if let Some(for_ms) = notice.retry_after_ms {
            self.notices.pause(now, target, for_ms);
        }
        let is_news = limit.is_some() || leaves || notice.retry_after_ms.is_some();
        let news = self.news.for_all();
        news.limits.extend(limit);
        news.leaving.extend(leaves.then(|| target.clone()));
        is_news
    }
}
