//! Notices of targets: limits, pauses and departures that they announce in their answers.

use {
    super::Serving,
    crate::{names::TargetId, targets::TargetNotice},
    whinlatch_core::MonoMs,
};

impl Serving {
    /// Returns the end of a target's pause, during which this instance sends it nothing; `None` if there is
    /// none now.
    pub fn paused_until(&self, now: MonoMs, target: &str) -> Option<MonoMs> {
        self.notices.paused_until(now, target)
    }

    /// Applies the notice in a target's answer to a request that was sent at `sent_at`, and queues its
    /// limit and departure for all peers. Returns whether it contained anything new.
    pub fn apply_target_notice(
        &mut self,
        now: MonoMs,
        sent_at: MonoMs,
        target: &TargetId,
        notice: &TargetNotice,
    ) -> bool {
        let changed_limit = self.notices.apply_answer(now, sent_at, target, notice);
        let is_newly_leaving = notice.is_leaving && self.targets.record_leaving(now, target);
        if let Some(for_ms) = notice.retry_after_ms {
            self.notices.pause(now, target, for_ms);
        }
        let is_news =
            changed_limit.is_some() || is_newly_leaving || notice.retry_after_ms.is_some();
        let news = self.news.for_all();
        news.limits.extend(changed_limit);
        news.leaving
            .extend(is_newly_leaving.then(|| target.clone()));
        is_news
    }
}
