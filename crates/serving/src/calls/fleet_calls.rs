use {
    super::{AnswerTimes, CallOutcome, CallPicture, CallReport, TargetCalls},
    crate::{names::TargetId, targets::FleetCallLoad},
    std::{cmp::Reverse, collections::HashMap},
    whinlatch_core::MonoMs,
};

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
