use {
    super::{FailureShare, TargetEntry},
    crate::names::TargetId,
    std::collections::HashMap,
    whinlatch_core::MonoMs,
};

/// Weight of the newest answer in the mean of answer times.
const NEWEST_WEIGHT: f64 = 0.2;
/// Time of an answer that is assumed of a target that hasn't answered yet, in ms: that of a small
/// service call.
const ASSUMED_ANSWER_MS: f64 = 30.0;
/// Time for which a target that could not be reached is passed over, in ms: about the time that a
/// crashed one takes to come back or to be removed from the list.
const UNREACHABLE_MS: u64 = 1_500;
/// How much a share of failed answers weighs against waiting time: at one failure in two, a target
/// counts as eleven times as slow.
const FAILURE_WEIGHT: f64 = 20.0;

#[derive(Debug, Default, Clone, Copy)]
struct CallLoad {
    in_flight: u32,
    answer_ms: Option<f64>,
    failures: FailureShare,
    unreachable_until: MonoMs,
}

/// What this instance has seen of the targets of plain services.
#[derive(Debug, Default)]
pub struct CallLoads {
    by_target: HashMap<TargetId, CallLoad>,
}

impl CallLoads {
    /// The target that is expected to answer first. Those in `tried` come last.
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
        let waiting = f64::from(load.in_flight) / f64::from(entry.slots.max(1));
        let failed = load.failures.at(now);
        let unreachable = if load.unreachable_until > now {
            1e6
        } else {
            0.0
        };
        answer_ms * (1.0 + waiting) * (1.0 + FAILURE_WEIGHT * failed) + unreachable
    }

    /// Whether a target could not be reached a moment ago.
    pub fn is_unreachable(&self, now: MonoMs, target: &str) -> bool {
        self.by_target
            .get(target)
            .is_some_and(|load| load.unreachable_until > now)
    }

    /// Notes a request that is sent.
    pub fn sent(&mut self, target: &TargetId) {
        self.by_target.entry(target.clone()).or_default().in_flight += 1;
    }

    /// Notes that a request isn't sent after all.
    pub fn withdrawn(&mut self, target: &str) {
        if let Some(load) = self.by_target.get_mut(target) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Notes the end of a request; `failed` if the target didn't serve it.
    pub fn ended(&mut self, now: MonoMs, target: &str, took_ms: f64, failed: bool) {
        let Some(load) = self.by_target.get_mut(target) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        load.failures.note(now, failed);
        if !failed {
            let mean_ms = load.answer_ms.unwrap_or(took_ms);
            load.answer_ms = Some(mean_ms + NEWEST_WEIGHT * (took_ms - mean_ms));
        }
    }

    /// Notes that no connection to a target could be had. Returns whether that is news.
    pub fn unreachable(&mut self, now: MonoMs, target: &TargetId) -> bool {
        let load = self.by_target.entry(target.clone()).or_default();
        let is_news = load.unreachable_until <= now;
        load.unreachable_until = now + UNREACHABLE_MS;
        is_news
    }

    /// Forgets targets that aren't published any more.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_target
            .retain(|id, load| load.in_flight > 0 || keep(id));
    }
}
