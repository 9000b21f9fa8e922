use {crate::names::TargetId, whinlatch_core::MonoMs};

/// Time for which a failed connection may still be confirmed, in ms: a busy instance opens a connection to another
/// target within it.
const CONFIRMATION_TTL_MS: u64 = 1_000;
/// Limit for the number of failures that wait for confirmation: those of all engines of a group.
const MAX_UNCONFIRMED: usize = 96;

/// Failed connections to targets that peers aren't told of yet.
///
/// Guards against sound targets that the whole fleet avoids because some instances are partitioned from them. Such an
/// instance can't tell its own broken link from a broken target; only a connection to another target that it opens
/// afterwards shows that its link works.
#[derive(Debug, Default)]
pub struct UnconfirmedFailures {
    failures: Vec<(TargetId, MonoMs)>,
}

impl UnconfirmedFailures {
    /// Adds a failed connection.
    pub fn add(&mut self, now: MonoMs, target: &TargetId) {
        self.failures
            .retain(|(failed, at)| failed != target && now.since(*at) < CONFIRMATION_TTL_MS);
        if self.failures.len() < MAX_UNCONFIRMED {
            self.failures.push((target.clone(), now));
        }
    }

    /// Removes and returns the targets whose failures a connection to `connected` confirms: those of all others.
    pub fn take_confirmed(&mut self, now: MonoMs, connected: &TargetId) -> Vec<TargetId> {
        std::mem::take(&mut self.failures)
            .into_iter()
            .filter(|(target, at)| target != connected && now.since(*at) < CONFIRMATION_TTL_MS)
            .map(|(target, _)| target)
            .collect()
    }
}
