use {
    crate::{
        fleet::{Condemnation, Crash},
        names::TargetId,
    },
    std::{cmp::Reverse, collections::HashMap},
    whinlatch_core::MonoMs,
};

/// Hash of account, path and body; equal for a request that its caller retries.
pub type Fingerprint = u64;

/// When what targets ran counts as poison, and for how long it is kept from targets then.
#[derive(Debug, Clone, Copy)]
pub struct CrashLimits {
    /// Number of targets that must fail.
    pub targets: usize,
    /// Number of these that must have failed one after the other, each while it had the request only after the one
    /// before had failed.
    pub rounds: usize,
    /// Time from the last failure until it is tried again, in ms; doubles with each further target that fails. A caller
    /// has given up its retries by then, so that a trial rarely costs a target, and what only happened to be running when
    /// targets failed is served again.
    pub initial_quarantine_ms: u64,
}

/// The limits for requests.
const REQUEST_LIMITS: CrashLimits = CrashLimits {
    targets: 3,
    rounds: 2,
    initial_quarantine_ms: 20_000,
};
/// Maximum number of doublings of that time, which is about ten minutes then.
const MAX_DOUBLINGS: usize = 5;
/// Time for which a failure counts, in ms: callers retry within their deadline of about ten seconds, and
/// again with their next attempt.
const CRASH_RETENTION_MS: u64 = 60_000;
/// Limit for the number of requests of which crashes are remembered.
const MAX_RECORDS: usize = 4_096;
/// Limit for the number of targets that are remembered for one request; more make no difference.
const MAX_TARGETS: usize = 16;
/// Limit for the number of requests that one frame states to be poison.
const MAX_STATED: usize = 64;

/// Time for which a target had a request until it failed.
#[derive(Debug, Clone, Copy)]
struct Run {
    sent_at: MonoMs,
    failed_at: MonoMs,
}

#[derive(Debug)]
struct CrashRecord {
    targets: HashMap<TargetId, Run>,
    /// Number of targets by the word of peers, which may have seen crashes that this instance hasn't heard of.
    stated_targets: usize,
    last_crash_at: MonoMs,
}

impl CrashRecord {
    fn new(now: MonoMs) -> Self {
        Self {
            targets: HashMap::new(),
            stated_targets: 0,
            last_crash_at: now,
        }
    }

    /// Returns the number of targets that failed.
    fn count(&self) -> usize {
        self.targets.len().max(self.stated_targets)
    }

    /// Returns the largest number of targets that had the request one after the other.
    fn rounds(&self) -> usize {
        let mut runs: Vec<&Run> = self.targets.values().collect();
        runs.sort_by_key(|run| run.failed_at);
        let mut last_failed_at = None;
        let mut rounds = 0;
        for run in runs {
            if last_failed_at.is_none_or(|at| run.sent_at >= at) {
                last_failed_at = Some(run.failed_at);
                rounds += 1;
            }
        }
        rounds
    }

    fn is_poison(&self, limits: CrashLimits) -> bool {
        self.stated_targets >= limits.targets
            || self.targets.len() >= limits.targets && self.rounds() >= limits.rounds
    }

    /// Returns the time for which the request is kept from targets, in ms; 0 while it isn't poison.
    fn quarantine_ms(&self, limits: CrashLimits) -> u64 {
        if !self.is_poison(limits) {
            return 0;
        }
        let further = self.count() - limits.targets;
        limits.initial_quarantine_ms << further.min(MAX_DOUBLINGS)
    }

    /// Returns when the first of the targets failed that are known here.
    fn first_crash_at(&self) -> MonoMs {
        let failed = self.targets.values().map(|run| run.failed_at);
        failed.min().unwrap_or(self.last_crash_at)
    }

    /// Removes the failures up to a time. Returns whether any is left.
    fn clear_until(&mut self, at: MonoMs) -> bool {
        self.targets.retain(|_, run| run.failed_at > at);
        if self.last_crash_at <= at {
            self.stated_targets = 0;
        }
        self.count() > 0
    }
}

/// Counts, over all instances, the targets that failed while they ran the same request.
///
/// Keeps a request that crashes every target from spreading while its caller retries it at any instance:
/// after a few targets it is sent to no other. Targets are counted, not failures, because one
/// target that loses power fails all requests with the same fingerprint that it has in flight. Targets that had the
/// request at the same time may have lost power together, so that at least one must have got it after another had
/// failed. A request that any target has served is not poison, however often it failed before.
#[derive(Debug)]
pub struct CrashTracker {
    limits: CrashLimits,
    records: HashMap<Fingerprint, CrashRecord>,
    /// When requests were last cleared that had been suspected.
    cleared: HashMap<Fingerprint, MonoMs>,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self::new(REQUEST_LIMITS)
    }
}

impl CrashTracker {
    /// Returns a tracker that knows no failures.
    pub fn new(limits: CrashLimits) -> Self {
        Self {
            limits,
            records: HashMap::new(),
            cleared: HashMap::new(),
        }
    }

    /// Records a failure that was seen here or reported by a peer. Returns whether it is new.
    pub fn record_crash(&mut self, now: MonoMs, crash: &Crash) -> bool {
        let failed_at = MonoMs(now.0.saturating_sub(crash.age_ms));
        let record = self.record(failed_at, crash.fingerprint);
        let is_new =
            record.targets.len() < MAX_TARGETS && !record.targets.contains_key(&crash.target);
        if is_new {
            let sent_at = MonoMs(failed_at.0.saturating_sub(crash.ran_ms));
            let run = Run { sent_at, failed_at };
            record.targets.insert(crash.target.clone(), run);
            record.last_crash_at = record.last_crash_at.max(failed_at);
        }
        is_new
    }

    /// Returns the record of a request, a new one if there is none. If there are too many, the one whose last crash is
    /// longest ago gives way, of those that aren't poison if there are any.
    fn record(&mut self, now: MonoMs, fingerprint: Fingerprint) -> &mut CrashRecord {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&fingerprint) {
            let limits = self.limits;
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.is_poison(limits), record.last_crash_at));
            let oldest = oldest.map(|(oldest, _)| *oldest);
            if let Some(oldest) = oldest {
                self.records.remove(&oldest);
            }
        }
        self.records
            .entry(fingerprint)
            .or_insert_with(|| CrashRecord::new(now))
    }

    /// Records what a peer states of a request that is poison. Returns whether it is news.
    pub fn apply_condemnation(&mut self, now: MonoMs, stated: &Condemnation) -> bool {
        let last_crash_at = MonoMs(now.0.saturating_sub(stated.age_ms));
        let cleared_at = self.cleared.get(&stated.fingerprint);
        if cleared_at.is_some_and(|at| *at >= last_crash_at) {
            return false;
        }
        let targets = (stated.targets as usize).min(MAX_TARGETS);
        let limits = self.limits;
        let record = self.record(last_crash_at, stated.fingerprint);
        if record.is_poison(limits) && record.count() >= targets {
            return false;
        }
        record.last_crash_at = record.last_crash_at.max(last_crash_at);
        record.stated_targets = targets;
        true
    }

    /// Returns what there is to state of a request; `None` unless it is poison.
    pub fn condemnation(&self, now: MonoMs, fingerprint: Fingerprint) -> Option<Condemnation> {
        let record = self.records.get(&fingerprint)?;
        record.is_poison(self.limits).then(|| Condemnation {
            fingerprint,
            targets: record.count() as u32,
            age_ms: now.since(record.last_crash_at),
            span_ms: record.last_crash_at.since(record.first_crash_at()),
        })
    }

    /// Returns what there is to state of all requests that are poison, the latest ones if they are many.
    pub fn condemnations(&self, now: MonoMs) -> Vec<Condemnation> {
        let fingerprints = self.records.keys();
        let mut stated: Vec<Condemnation> = fingerprints
            .filter_map(|fingerprint| self.condemnation(now, *fingerprint))
            .collect();
        stated.sort_by_key(|stated| (stated.age_ms, Reverse(stated.targets)));
        stated.truncate(MAX_STATED);
        stated
    }

    /// Records that a target served the request, here or at a peer, so that it didn't cause the earlier
    /// failures. Returns whether there were any.
    pub fn record_served(&mut self, now: MonoMs, fingerprint: Fingerprint) -> bool {
        let was_suspected = self.records.remove(&fingerprint).is_some();
        if was_suspected && self.cleared.len() < MAX_RECORDS {
            self.cleared.insert(fingerprint, now);
        }
        was_suspected
    }

    /// Removes the failures up to a time at which a target ran what was suspected and went on. Returns whether there were
    /// any.
    pub fn clear_until(&mut self, at: MonoMs, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        let before = record.count();
        let is_left = record.clear_until(at);
        let has_changed = record.count() < before;
        if !is_left {
            self.records.remove(&fingerprint);
        }
        if has_changed && self.cleared.len() < MAX_RECORDS {
            self.cleared.insert(fingerprint, at);
        }
        has_changed
    }

    /// Returns whether a request has crashed so many targets that it is sent again in trials only.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.is_poison(self.limits))
    }

    /// Returns whether a request is to be kept from targets now.
    pub fn is_poison(&self, now: MonoMs, fingerprint: Fingerprint) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| {
            now.since(record.last_crash_at) < record.quarantine_ms(self.limits)
        })
    }

    /// Removes records that have expired.
    pub fn evict_expired(&mut self, now: MonoMs) {
        let limits = self.limits;
        self.cleared
            .retain(|_, cleared_at| now.since(*cleared_at) < CRASH_RETENTION_MS);
        self.records.retain(|_, record| {
            now.since(record.last_crash_at) < CRASH_RETENTION_MS + record.quarantine_ms(limits)
        });
    }
}
