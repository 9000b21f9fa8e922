use {
    super::{AnswerTimes, CallCounts, CallOutcome, CallPicture, CallReport},
    std::collections::HashMap,
    whinlatch_core::MonoMs,
};

/// Time for which an instance's report of calls in flight holds, in ms: four heartbeats of a large fleet. Instances
/// repeat it with each heartbeat while there are any.
const IN_FLIGHT_TTL_MS: u64 = 2_000;
/// Trial calls in a row that must succeed until an ejected target is readmitted. A target that answers half of its
/// calls passes five trials in a row once in 30 times.
const TRIALS_TO_READMIT: u32 = 5;

/// What the reports of the instances say of a target.
#[derive(Debug, Clone, Default)]
pub struct TargetCalls {
    /// Calls in flight of each other instance, by its run, with the time of its report.
    in_flight_elsewhere: HashMap<u64, (u32, MonoMs)>,
    /// Times of the answers that didn't fail.
    pub times: AnswerTimes,
    /// Calls and failures.
    pub counts: CallCounts,
    /// State of the ejection; `None` if the target isn't ejected.
    ejection: Option<Ejection>,
    /// The last row that was sent, and when.
    pub sent: Option<(CallPicture, MonoMs)>,
}

/// Trial calls of an ejected target.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    since: MonoMs,
    passed_trials: u32,
    /// Answer time from which a trial doesn't count as a success, in ms.
    slow_ms: f64,
}

impl TargetCalls {
    /// Applies the report of another instance.
    pub fn apply_report(&mut self, now: MonoMs, run: u64, report: &CallReport) {
        if report.in_flight > 0 {
            self.in_flight_elsewhere
                .insert(run, (report.in_flight, now));
        } else {
            self.in_flight_elsewhere.remove(&run);
        }
        for (bucket, count) in &report.answers {
            let bucket = usize::from(*bucket);
            self.times.add(now, bucket, f64::from(*count));
            self.counts.add(now, *count, 0);
            self.count_trials(AnswerTimes::bucket_ms(bucket), *count);
        }
        let failed = report.failed.saturating_add(report.unanswered);
        self.record_failures(now, failed);
    }

    /// Records the result of a call of this instance.
    pub fn record(&mut self, now: MonoMs, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Answered { took_ms } => {
                self.times.record(now, took_ms);
                self.counts.add(now, 1, 0);
                self.count_trials(took_ms, 1);
            }
            CallOutcome::Failed | CallOutcome::Unanswered => self.record_failures(now, 1),
        }
    }

    fn record_failures(&mut self, now: MonoMs, failed: u32) {
        self.counts.add(now, failed, failed);
        if let Some(ejection) = self.ejection.as_mut().filter(|_| failed > 0) {
            ejection.passed_trials = 0;
        }
    }

    fn count_trials(&mut self, took_ms: f64, count: u32) {
        if let Some(ejection) = &mut self.ejection {
            ejection.passed_trials = if took_ms < ejection.slow_ms {
                ejection.passed_trials.saturating_add(count)
            } else {
                0
            };
        }
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

    /// Returns since when the target is ejected; `None` if it isn't.
    pub fn ejected_since(&self) -> Option<MonoMs> {
        self.ejection.map(|ejection| ejection.since)
    }

    /// Returns whether enough trial calls of an ejected target have succeeded.
    pub fn has_passed_trials(&self) -> bool {
        self.ejection
            .is_some_and(|ejection| ejection.passed_trials >= TRIALS_TO_READMIT)
    }

    /// Ejects the target. Trial calls that take `slow_ms` or longer don't count as successes.
    pub fn eject(&mut self, now: MonoMs, slow_ms: f64) {
        self.ejection = Some(Ejection {
            since: now,
            passed_trials: 0,
            slow_ms,
        });
    }

    /// Readmits the target. What was counted before no longer counts, so that it isn't ejected for it again.
    pub fn readmit(&mut self) {
        self.ejection = None;
        self.times = AnswerTimes::default();
        self.counts = CallCounts::default();
    }
}
