use {
    super::{FailureShare, TargetEntry},
    crate::names::TargetId,
    std::collections::HashMap,
    whinlatch_core::MonoMs,
};

/// Weight of the newest answer in the moving average of answer times.
const NEWEST_WEIGHT: f64 = 0.2;
/// Answer time that is assumed for a target that hasn't answered yet, in ms: that of a small service call.
const ASSUMED_ANSWER_MS: f64 = 30.0;
/// Time for which a target is avoided after a failed connection, in ms: about the time that a crashed
/// target takes to restart or to be removed from the store.
const UNREACHABLE_TTL_MS: u64 = 1_500;
/// Factor by which the failure share raises a target's cost: at one failure in two, a target counts as
/// eleven times as slow.
const FAILURE_WEIGHT: f64 = 20.0;
/// A cancelled attempt counts as unanswered if it waited this many times as long as the attempt that succeeded:
/// less is within the usual spread of answer times.
const UNANSWERED_RATIO: f64 = 2.0;
/// Unanswered attempts without an answer between them from which each counts as a failure. One of them may be an
/// answer that was late by chance, as one in twenty is.
const FAILED_FROM_UNANSWERED: u32 = 2;

#[derive(Debug, Default, Clone, Copy)]
struct CallLoad {
    in_flight: u32,
    answer_ms: Option<f64>,
    failures: FailureShare,
    /// Attempts that were cancelled as unanswered since the last answer.
    unanswered: u32,
    unreachable_until: MonoMs,
}

/// Requests in flight, answer times and failures per target of plain services, as observed by this instance.
#[derive(Debug, Default)]
pub struct CallLoads {
    by_target: HashMap<TargetId, CallLoad>,
}

impl CallLoads {
    /// Returns the target with the lowest expected answer time, raised by a random 0 to 20 % so that equal
    /// targets share the calls. Targets in `tried` are excluded, unreachable ones are a last resort.
    pub fn choose<'a>(
        &self,
        now: MonoMs,
        candidates: impl Iterator<Item = &'a TargetEntry>,
        tried: &[TargetId],
        rng: &mut fastrand::Rng,
    ) -> Option<&'a TargetEntry> {
        candidates
            .filter(|entry| !tried.contains(&entry.id))
            .map(|entry| (self.cost(now, entry) * (1.0 + 0.2 * rng.f64()), entry))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, entry)| entry)
    }

    fn cost(&self, now: MonoMs, entry: &TargetEntry) -> f64 {
        let load = self.by_target.get(&entry.id).copied().unwrap_or_default();
        let answer_ms = load.answer_ms.unwrap_or(ASSUMED_ANSWER_MS);
        let utilization = f64::from(load.in_flight) / f64::from(entry.slots.max(1));
        let failure_share = load.failures.at(now);
        let unreachable_cost = if load.unreachable_until > now {
            1e6
        } else {
            0.0
        };
        answer_ms * (1.0 + utilization) * (1.0 + FAILURE_WEIGHT * failure_share) + unreachable_cost
    }

    /// Returns whether a connection to a target failed within the last `UNREACHABLE_TTL_MS`.
    pub fn is_unreachable(&self, now: MonoMs, target: &str) -> bool {
        self.by_target
            .get(target)
            .is_some_and(|load| load.unreachable_until > now)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self, target: &str) -> u32 {
        self.by_target.get(target).map_or(0, |load| load.in_flight)
    }

    /// Counts a request as in flight.
    pub fn record_sent(&mut self, target: &TargetId) {
        self.by_target.entry(target.clone()).or_default().in_flight += 1;
    }

    /// Reverts [`Self::record_sent`] for a request that wasn't sent after all.
    pub fn record_withdrawn(&mut self, target: &str) {
        if let Some(load) = self.by_target.get_mut(target) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Records the end of a request; `failed` if the target didn't serve it. Only answers that didn't fail
    /// count towards the answer time.
    pub fn record_ended(&mut self, now: MonoMs, target: &str, took_ms: f64, failed: bool) {
        let Some(load) = self.by_target.get_mut(target) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        load.failures.record(now, failed);
        if !failed {
            let mean_ms = load.answer_ms.unwrap_or(took_ms);
            load.answer_ms = Some(mean_ms + NEWEST_WEIGHT * (took_ms - mean_ms));
            load.unanswered = 0;
        }
    }

    /// Records that a request was cancelled after `waited_ms` because another target served it within
    /// `winner_ms`. Its answer would have taken longer than `waited_ms`, which counts towards the answer time if
    /// it is above the average.
    ///
    /// Guards against a target that never answers and still gets calls, since each of its requests is cancelled
    /// before it fails, and against avoiding a target that was only a little slower than another.
    pub fn record_overtaken(&mut self, now: MonoMs, target: &str, waited_ms: f64, winner_ms: f64) {
        let Some(load) = self.by_target.get_mut(target) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        let mean_ms = load.answer_ms.unwrap_or(ASSUMED_ANSWER_MS);
        if waited_ms > mean_ms {
            load.answer_ms = Some(mean_ms + NEWEST_WEIGHT * (waited_ms - mean_ms));
        }
        if waited_ms >= UNANSWERED_RATIO * winner_ms.max(1.0) {
            load.unanswered += 1;
            if load.unanswered >= FAILED_FROM_UNANSWERED {
                load.failures.record(now, true);
            }
        }
    }

    /// Records a failed connection to a target. Returns false if the target already counted as unreachable.
    pub fn record_unreachable(&mut self, now: MonoMs, target: &TargetId) -> bool {
        let load = self.by_target.entry(target.clone()).or_default();
        let is_news = load.unreachable_until <= now;
        load.unreachable_until = now + UNREACHABLE_TTL_MS;
        is_news
    }

    /// Evicts targets that aren't published any more, except those with requests in flight.
    pub fn retain(&mut self, is_published: impl Fn(&str) -> bool) {
        self.by_target
            .retain(|id, load| load.in_flight > 0 || is_published(id));
    }
}
