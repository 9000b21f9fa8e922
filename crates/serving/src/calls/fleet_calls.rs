use {
    super::{
        AnswerTimes, CallCounts, CallOutcome, CallPicture, CallReport, EjectionChange, TargetCalls,
    },
    crate::{names::TargetId, targets::FleetCallLoad},
    std::{cmp::Reverse, collections::HashMap},
    whinlatch_core::MonoMs,
};

/// Failure share from which a target may be ejected. Many targets fail up to 14 % of one kind of call by nature.
const MIN_EJECTED_SHARE: f64 = 0.3;
/// Factor by which a target must be worse than the median of its peers to be ejected.
const EJECTION_FACTOR: f64 = 3.0;
/// Number of ready targets from which a service has peers to compare a target with.
const MIN_READY_TARGETS: usize = 3;
/// Share of a service's ready targets that may be ejected at once, as a divisor.
const EJECTED_DIVISOR: usize = 3;
/// Share of the answers of a service that are later than its `late_ms`, as a quantile.
const LATE_QUANTILE: f64 = 0.95;
/// Maximum number of rows of the view in a frame.
const MAX_ROWS: usize = 16;
/// Time after which an unchanged row is sent again, in ms: an instance that has received none for three seconds
/// takes the view for lost.
const REFRESH_INTERVAL_MS: u64 = 2_000;

/// What the instances of the fleet together know of the targets of plain services, aggregated from their reports
/// and this instance's own calls.
#[derive(Debug, Default)]
pub struct FleetCalls {
    by_target: HashMap<TargetId, TargetCalls>,
}

impl FleetCalls {
    /// Applies the report of another instance.
    pub fn apply_report(&mut self, now: MonoMs, run: u64, report: &CallReport) {
        let calls = self.by_target.entry(report.target.clone()).or_default();
        calls.apply_report(now, run, report);
    }

    /// Records the result of a call of this instance.
    pub fn record(&mut self, now: MonoMs, target: &TargetId, outcome: CallOutcome) {
        let calls = self.by_target.entry(target.clone()).or_default();
        calls.record(now, outcome);
    }

    /// Forgets the calls in flight of an instance whose membership has ended.
    pub fn forget_run(&mut self, run: u64) {
        for calls in self.by_target.values_mut() {
            calls.forget_run(run);
        }
    }

    /// Evicts targets that aren't published any more, and calls in flight that are no longer reported.
    pub fn evict_expired(&mut self, now: MonoMs, is_published: impl Fn(&str) -> bool) {
        self.by_target.retain(|id, _| is_published(id));
        for calls in self.by_target.values_mut() {
            calls.evict_expired(now);
        }
    }

    /// Returns what is known of a target; `None` if nothing is.
    pub fn load(&self, now: MonoMs, target: &str) -> Option<FleetCallLoad> {
        let calls = self.by_target.get(target)?;
        Some(FleetCallLoad {
            in_flight_elsewhere: calls.in_flight_elsewhere(now),
            answer_ms: calls.times.median_ms(now),
            late_ms: None,
            failure_share: calls.counts.failure_share(now),
            is_ejected: calls.ejected_since().is_some(),
            as_of: now,
        })
    }

    /// Returns the 95th percentile of the answer times of all targets of a service, in ms; `None` if too few
    /// answers are known.
    pub fn late_ms<'a>(
        &self,
        now: MonoMs,
        targets: impl Iterator<Item = &'a TargetId>,
    ) -> Option<f64> {
        let mut times = AnswerTimes::default();
        for calls in targets.filter_map(|id| self.by_target.get(id)) {
            times.merge(now, &calls.times);
        }
        times.quantile_ms(now, LATE_QUANTILE)
    }

    /// Ejects the targets of a service that are far worse than their peers, and readmits those whose trial calls
    /// have succeeded. `ready` are the targets of the service that take requests. Returns what has changed.
    pub fn update_ejections(&mut self, now: MonoMs, ready: &[TargetId]) -> Vec<EjectionChange> {
        let max_ejected = if ready.len() < MIN_READY_TARGETS {
            0
        } else {
            ready.len() / EJECTED_DIVISOR
        };
        let mut changes: Vec<EjectionChange> = self
            .targets_to_readmit(ready, max_ejected)
            .into_iter()
            .map(|target| self.readmit(now, ready, &target))
            .collect();
        let ejected = self.ejected(ready).len();
        let mut worst: Vec<(f64, &TargetId)> = ready
            .iter()
            .filter(|id| self.is_outlier(now, ready, id))
            .map(|id| (self.failure_share(id), id))
            .collect();
        worst.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (_, target) in worst.into_iter().take(max_ejected.saturating_sub(ejected)) {
            changes.push(self.eject(now, ready, target));
        }
        changes
    }

    /// Returns the targets whose trial calls have succeeded, and those that were ejected last if there are more than
    /// `max_ejected`, as after the departure of ready ones.
    fn targets_to_readmit(&self, ready: &[TargetId], max_ejected: usize) -> Vec<TargetId> {
        let has_passed =
            |id: &&TargetId| (self.by_target.get(*id)).is_some_and(TargetCalls::has_passed_trials);
        let (mut readmitted, mut ejected): (Vec<&TargetId>, Vec<&TargetId>) =
            self.ejected(ready).into_iter().partition(has_passed);
        ejected.sort_by_key(|id| self.by_target[*id].ejected_since());
        readmitted.extend(ejected.drain(max_ejected.min(ejected.len())..));
        readmitted.into_iter().cloned().collect()
    }

    fn ejected<'a>(&self, ready: &'a [TargetId]) -> Vec<&'a TargetId> {
        ready.iter().filter(|id| self.is_ejected(id)).collect()
    }

    fn is_ejected(&self, target: &TargetId) -> bool {
        let calls = self.by_target.get(target);
        calls.is_some_and(|calls| calls.ejected_since().is_some())
    }

    fn failure_share(&self, target: &TargetId) -> f64 {
        let calls = self.by_target.get(target);
        calls.map_or(0.0, |calls| calls.counts.window_share())
    }

    /// Returns whether a target that isn't ejected is far worse than its peers.
    fn is_outlier(&self, now: MonoMs, ready: &[TargetId], target: &TargetId) -> bool {
        let Some(calls) = self.by_target.get(target) else {
            return false;
        };
        if calls.ejected_since().is_some() {
            return false;
        }
        let fails_more = calls.counts.is_known(now)
            && self.peers_share(now, ready, target).is_some_and(|peers| {
                let share = calls.counts.window_share();
                share >= MIN_EJECTED_SHARE && share >= EJECTION_FACTOR * peers
            });
        let times = calls.times.median_ms(now);
        let peers_ms = self.peers_answer_ms(now, ready, target);
        let is_slower = (times.zip(peers_ms))
            .is_some_and(|(own_ms, peers_ms)| own_ms >= EJECTION_FACTOR * peers_ms);
        fails_more || is_slower
    }

    /// Returns the calls to the other targets that aren't ejected.
    fn peers<'a>(
        &'a self,
        ready: &'a [TargetId],
        target: &'a TargetId,
    ) -> impl Iterator<Item = &'a TargetCalls> {
        ready
            .iter()
            .filter(move |id| *id != target && !self.is_ejected(id))
            .filter_map(|id| self.by_target.get(id))
    }

    /// Returns the median failure share of a target's peers of which enough calls are counted.
    fn peers_share(&self, now: MonoMs, ready: &[TargetId], target: &TargetId) -> Option<f64> {
        let shares = self
            .peers(ready, target)
            .map(|calls| calls.counts)
            .filter(|counts| counts.is_known(now))
            .map(CallCounts::window_share);
        upper_median(shares.collect())
    }

    fn peers_answer_ms(&self, now: MonoMs, ready: &[TargetId], target: &TargetId) -> Option<f64> {
        let times = self.peers(ready, target);
        upper_median(
            times
                .filter_map(|calls| calls.times.median_ms(now))
                .collect(),
        )
    }

    fn eject(&mut self, now: MonoMs, ready: &[TargetId], target: &TargetId) -> EjectionChange {
        let change = self.change(now, ready, target, true);
        let slow_ms = change
            .peers_answer_ms
            .map_or(f64::INFINITY, |peers_ms| EJECTION_FACTOR * peers_ms);
        if let Some(calls) = self.by_target.get_mut(target) {
            calls.eject(now, slow_ms);
        }
        change
    }

    fn readmit(&mut self, now: MonoMs, ready: &[TargetId], target: &TargetId) -> EjectionChange {
        let change = self.change(now, ready, target, false);
        if let Some(calls) = self.by_target.get_mut(target) {
            calls.readmit();
        }
        change
    }

    fn change(
        &self,
        now: MonoMs,
        ready: &[TargetId],
        target: &TargetId,
        is_ejected: bool,
    ) -> EjectionChange {
        let calls = self.by_target.get(target);
        EjectionChange {
            target: target.clone(),
            is_ejected,
            failure_share: self.failure_share(target),
            answer_ms: calls.and_then(|calls| calls.times.median_ms(now)),
            peers_answer_ms: self.peers_answer_ms(now, ready, target),
        }
    }

    /// Returns the rows of the view to send: those that have changed or weren't sent for some time, at most
    /// `MAX_ROWS`, the longest unsent ones first. `current` are the rows of all targets.
    pub fn rows_to_send(&mut self, now: MonoMs, current: Vec<CallPicture>) -> Vec<CallPicture> {
        let sent = |row: &CallPicture| self.by_target.get(&row.target)?.sent.as_ref();
        let is_due = |row: &CallPicture| {
            sent(row).is_none_or(|(sent, sent_at)| {
                row.differs_from(sent) || now.since(*sent_at) >= REFRESH_INTERVAL_MS
            })
        };
        let mut rows: Vec<CallPicture> = current.into_iter().filter(is_due).collect();
        rows.sort_by_key(|row| Reverse(sent(row).map_or(u64::MAX, |(_, at)| now.since(*at))));
        rows.truncate(MAX_ROWS);
        for row in &rows {
            if let Some(calls) = self.by_target.get_mut(&row.target) {
                calls.sent = Some((row.clone(), now));
            }
        }
        rows
    }
}

/// Returns the median; of an even number of values the higher one of the two in the middle, with which fewer
/// targets seem worse than their peers.
fn upper_median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
