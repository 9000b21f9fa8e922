use {
    super::{FailureShare, FleetCallLoad, TargetEntry},
    crate::{
        calls::{CallOutcome, CallReport, CallTally},
        names::TargetId,
    },
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
/// Time for which something that a target sent to this instance counts more than a peer's report that it can't reach
/// the target, in ms: engines that write do so several times in it.
const OWN_EVIDENCE_TTL_MS: u64 = 1_000;
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
    answered_at: MonoMs,
    failures: FailureShare,
    /// Attempts that were cancelled as unanswered since the last answer.
    unanswered: u32,
    /// Until when a failed connection of this instance counts.
    unreachable_until: MonoMs,
    /// Until when a peer's word counts that it can't reach the target.
    reported_unreachable_until: MonoMs,
    /// When the target last sent something to this instance.
    heard_at: Option<MonoMs>,
    /// Results that this instance hasn't reported yet.
    unreported: CallTally,
    /// Calls in flight as last reported.
    reported_in_flight: u32,
    fleet: Option<FleetCallLoad>,
}

impl CallLoad {
    /// Returns the expected answer time of an idle target: of the instance's own value and the fleet's the newer one.
    fn answer_ms(&self) -> f64 {
        let fleet = self.fleet.filter(|fleet| fleet.as_of > self.answered_at);
        fleet
            .and_then(|fleet| fleet.answer_ms)
            .or(self.answer_ms)
            .or_else(|| self.fleet?.answer_ms)
            .unwrap_or(ASSUMED_ANSWER_MS)
    }

    fn is_unreachable(&self, now: MonoMs) -> bool {
        self.unreachable_until > now || self.reported_unreachable_until > now
    }

    fn in_flight(&self) -> u32 {
        let elsewhere = self.fleet.map_or(0, |fleet| fleet.in_flight_elsewhere);
        self.in_flight.saturating_add(elsewhere)
    }
}

/// Requests in flight, answer times and failures per target of plain services, as observed by this instance and, where
/// it is known, by the fleet together.
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
        let candidates: Vec<(&TargetEntry, CallLoad)> = candidates
            .map(|entry| (entry, self.load(&entry.id)))
            .collect();
        let usual_share = usual_failure_share(&candidates);
        candidates
            .into_iter()
            .filter(|(entry, _)| !tried.contains(&entry.id))
            .map(|(entry, load)| {
                let cost = cost(now, entry, &load, usual_share);
                (cost * (1.0 + 0.2 * rng.f64()), entry)
            })
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, entry)| entry)
    }

    fn load(&self, target: &str) -> CallLoad {
        self.by_target.get(target).copied().unwrap_or_default()
    }

    /// Replaces the fleet's view of one target.
    pub fn set_fleet_load(&mut self, target: &TargetId, fleet: FleetCallLoad) {
        self.by_target.entry(target.clone()).or_default().fleet = Some(fleet);
    }

    /// Removes the fleet's view of all targets.
    pub fn clear_fleet_loads(&mut self) {
        for load in self.by_target.values_mut() {
            load.fleet = None;
        }
    }

    /// Returns the 95th percentile of a service's answer times in the newest view of one of its targets, in ms.
    pub fn fleet_late_ms<'a>(&self, targets: impl Iterator<Item = &'a TargetId>) -> Option<f64> {
        let fleet = targets.filter_map(|id| self.load(id).fleet);
        fleet.max_by_key(|fleet| fleet.as_of)?.late_ms
    }

    /// Returns the number of calls in flight to a target from all instances, as far as it is known here.
    pub fn in_flight(&self, target: &str) -> u32 {
        self.load(target).in_flight()
    }

    /// Returns this instance's calls in flight to a target, as last reported.
    pub fn reported_in_flight(&self, target: &str) -> u32 {
        self.load(target).reported_in_flight
    }

    /// Returns the calls in flight and the results since the last call of this method, for each of the targets
    /// for which `is_reported`. Targets without calls are left out.
    pub fn take_reports(&mut self, is_reported: impl Fn(&str) -> bool) -> Vec<CallReport> {
        let mut reports = Vec::new();
        for (id, load) in &mut self.by_target {
            let unreported = std::mem::take(&mut load.unreported);
            let has_calls =
                load.in_flight > 0 || load.reported_in_flight > 0 || !unreported.is_empty();
            load.reported_in_flight = load.in_flight;
            if has_calls && is_reported(id) {
                reports.push(unreported.report(id.clone(), load.in_flight));
            }
        }
        reports
    }

    /// Returns whether a connection to a target failed within the last `UNREACHABLE_TTL_MS`, here or at a peer.
    pub fn is_unreachable(&self, now: MonoMs, target: &str) -> bool {
        let load = self.by_target.get(target);
        load.is_some_and(|load| load.is_unreachable(now))
    }

    /// Returns whether a connection of this instance to a target failed within the last `UNREACHABLE_TTL_MS`.
    pub fn has_failed_connection(&self, now: MonoMs, target: &str) -> bool {
        let load = self.by_target.get(target);
        load.is_some_and(|load| load.unreachable_until > now)
    }

    /// Returns whether a target counts as unreachable by the word of peers.
    pub fn is_reported_unreachable(&self, now: MonoMs, target: &str) -> bool {
        let load = self.by_target.get(target);
        load.is_some_and(|load| load.reported_unreachable_until > now)
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

    /// Records that a request wasn't sent since no connection could be opened. It counts as a failure here, and isn't
    /// reported.
    pub fn record_not_sent(&mut self, now: MonoMs, target: &str) {
        self.record_withdrawn(target);
        if let Some(load) = self.by_target.get_mut(target) {
            load.failures.record(now, true);
        }
    }

    /// Records the end of a request; `failed` if the target didn't serve it. Only answers that didn't fail
    /// count towards the answer time.
    pub fn record_ended(&mut self, now: MonoMs, target: &str, took_ms: f64, failed: bool) {
        let outcome = if failed {
            CallOutcome::Failed
        } else {
            CallOutcome::Answered { took_ms }
        };
        self.record_outcome(now, target, outcome);
    }

    /// Records a request that was given up without an answer.
    pub fn record_unanswered(&mut self, now: MonoMs, target: &str) {
        self.record_outcome(now, target, CallOutcome::Unanswered);
    }

    fn record_outcome(&mut self, now: MonoMs, target: &str, outcome: CallOutcome) {
        let Some(load) = self.by_target.get_mut(target) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        load.unreported.record(outcome);
        let CallOutcome::Answered { took_ms } = outcome else {
            load.failures.record(now, true);
            return;
        };
        load.failures.record(now, false);
        let mean_ms = load.answer_ms.unwrap_or(took_ms);
        load.answer_ms = Some(mean_ms + NEWEST_WEIGHT * (took_ms - mean_ms));
        load.answered_at = now;
        load.unanswered = 0;
    }

    /// Records that a request was cancelled after `waited_ms` because another target served it within
    /// `winner_ms`. Its answer would have taken longer than `waited_ms`, which counts towards the answer time if
    /// it is above the average. Returns whether the request counts as a failure.
    ///
    /// Guards against a target that never answers and still gets calls, since each of its requests is cancelled
    /// before it fails, and against avoiding a target that was only a little slower than another.
    pub fn record_overtaken(
        &mut self,
        now: MonoMs,
        target: &str,
        waited_ms: f64,
        winner_ms: f64,
    ) -> bool {
        let Some(load) = self.by_target.get_mut(target) else {
            return false;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        let mean_ms = load.answer_ms.unwrap_or(ASSUMED_ANSWER_MS);
        if waited_ms > mean_ms {
            load.answer_ms = Some(mean_ms + NEWEST_WEIGHT * (waited_ms - mean_ms));
        }
        if waited_ms < UNANSWERED_RATIO * winner_ms.max(1.0) {
            return false;
        }
        load.unanswered += 1;
        if load.unanswered < FAILED_FROM_UNANSWERED {
            return false;
        }
        load.unreported.record(CallOutcome::Unanswered);
        load.failures.record(now, true);
        true
    }

    /// Records a failed connection of this instance to a target.
    pub fn record_unreachable(&mut self, now: MonoMs, target: &TargetId) {
        let load = self.by_target.entry(target.clone()).or_default();
        load.unreachable_until = now + UNREACHABLE_TTL_MS;
    }

    /// Records that a peer couldn't reach a target. Returns whether it is news here; it is not if the target has sent
    /// something to this instance a short time ago.
    ///
    /// Guards against avoiding a target that only the peer can't reach.
    pub fn record_reported_unreachable(&mut self, now: MonoMs, target: &TargetId) -> bool {
        let load = self.by_target.entry(target.clone()).or_default();
        let is_recent = |at| now.since(at) < OWN_EVIDENCE_TTL_MS;
        if load.heard_at.is_some_and(is_recent) {
            return false;
        }
        let is_news = !load.is_unreachable(now);
        load.reported_unreachable_until = now + UNREACHABLE_TTL_MS;
        is_news
    }

    /// Records that a target has sent something to this instance, or taken a connection. What peers report of it no
    /// longer counts.
    pub fn record_heard(&mut self, now: MonoMs, target: &TargetId) {
        let load = self.by_target.entry(target.clone()).or_default();
        load.heard_at = Some(now);
        load.reported_unreachable_until = MonoMs::default();
    }

    /// Evicts targets that aren't published any more, except those with requests in flight.
    pub fn retain(&mut self, is_published: impl Fn(&str) -> bool) {
        self.by_target
            .retain(|id, load| load.in_flight > 0 || is_published(id));
    }
}

/// Returns the median of the fleet's failure shares of some targets, the lower one of two in the middle: where half of
/// the targets fail, their share isn't the usual one. A target without calls counts as one that fails none.
fn usual_failure_share(candidates: &[(&TargetEntry, CallLoad)]) -> f64 {
    let loads = candidates.iter().map(|(_, load)| load.fleet);
    let mut shares: Vec<f64> = loads
        .map(|fleet| fleet.map_or(0.0, |fleet| fleet.failure_share))
        .collect();
    shares.sort_by(f64::total_cmp);
    let middle = shares.len().saturating_sub(1) / 2;
    shares.get(middle).copied().unwrap_or(0.0)
}

/// Returns the expected answer time of a target, raised by its failures. Those that the fleet counts raise it as far
/// as they exceed `usual_share`, that of its peers.
///
/// The higher one of the own and the fleet's failure shares counts, also if the other is newer: an instance of a large
/// fleet has one call in some seconds, and one success of its own says little against a dozen calls of the others.
fn cost(now: MonoMs, entry: &TargetEntry, load: &CallLoad, usual_share: f64) -> f64 {
    let utilization = f64::from(load.in_flight()) / f64::from(entry.slots.max(1));
    let fleet_share = load.fleet.map_or(0.0, |fleet| fleet.failure_share);
    let fleet_excess = fleet_share - usual_share;
    let failure_share = load.failures.at(now).max(fleet_excess);
    let unreachable_cost = if load.is_unreachable(now) { 1e6 } else { 0.0 };
    load.answer_ms() * (1.0 + utilization) * (1.0 + FAILURE_WEIGHT * failure_share)
        + unreachable_cost
}
