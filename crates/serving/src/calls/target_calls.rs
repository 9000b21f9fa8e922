use {
    super::{AnswerTimes, CallCounts, CallOutcome, CallPicture, CallReport},
    std::collections::HashMap,
    whinlatch_core::MonoMs,
};

/// Time for which an instance's report of calls in flight holds, in ms: four heartbeats of a large fleet. Instances
/// repeat it with each heartbeat while there are any.
const IN_FLIGHT_TTL_MS: u64 = 2_000;
/// Maximum number of calls of one kind that a report of one instance counts for: an instance has some hundred
/// connections to a target, and reports twice a second or more often.
const MAX_REPORTED_CALLS: u32 = 1_000;

/// What the reports of the instances say of a target.
#[derive(Debug, Clone, Default)]
pub struct TargetCalls {
    /// Calls in flight of each other instance, by its run, with the time of its report.
    in_flight_elsewhere: HashMap<u64, (u32, MonoMs)>,
    /// Times of the answers that didn't fail.
    pub times: AnswerTimes,
    /// Calls and failures.
    pub counts: CallCounts,
    /// The last row that was sent, and when.
    pub sent: Option<(CallPicture, MonoMs)>,
}

impl TargetCalls {
    /// Applies the report of another instance. Counts beyond what an instance can have are cut, so that one wrong
    /// report doesn't outweigh all others.
    pub fn apply_report(&mut self, now: MonoMs, run: u64, report: &CallReport) {
        if report.in_flight > 0 {
            let in_flight = report.in_flight.min(MAX_REPORTED_CALLS);
            self.in_flight_elsewhere.insert(run, (in_flight, now));
        } else {
            self.in_flight_elsewhere.remove(&run);
        }
        for (bucket, count) in &report.answers {
            let bucket = usize::from(*bucket);
            let count = (*count).min(MAX_REPORTED_CALLS);
            self.times.add(now, bucket, f64::from(count));
            self.counts.add(now, count, 0);
        }
        let failed = report.failed.saturating_add(report.unanswered);
        let failed = failed.min(MAX_REPORTED_CALLS);
        self.record_failures(now, failed);
    }

    /// Records the result of a call of this instance.
    pub fn record(&mut self, now: MonoMs, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Answered { took_ms } => {
                self.times.record(now, took_ms);
                self.counts.add(now, 1, 0);
            }
            CallOutcome::Failed | CallOutcome::Unanswered => self.record_failures(now, 1),
        }
    }

    fn record_failures(&mut self, now: MonoMs, failed: u32) {
        self.counts.add(now, failed, failed);
    }

    /// Returns the calls in flight of the other instances.
    pub fn in_flight_elsewhere(&self, now: MonoMs) -> u32 {
        let current = self.in_flight_elsewhere.values();
        current
            .filter(|(_, reported_at)| now.since(*reported_at) < IN_FLIGHT_TTL_MS)
            .map(|(in_flight, _)| *in_flight)
            .fold(0, u32::saturating_add)
    }

    /// Forgets the calls in flight of an instance whose membership has ended.
    pub fn forget_run(&mut self, run: u64) {
        self.in_flight_elsewhere.remove(&run);
    }

    /// Forgets the calls in flight of reports that don't hold any more.
    pub fn evict_expired(&mut self, now: MonoMs) {
        self.in_flight_elsewhere
            .retain(|_, (_, reported_at)| now.since(*reported_at) < IN_FLIGHT_TTL_MS);
    }
}
