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

/// Number of targets that must fail while they run a request before the request counts as poison.
const POISON_TARGETS: usize = 3;
/// Number of these that must have failed one after the other, each while it had the request only after the one before
/// had failed.
const POISON_ROUNDS: usize = 2;
/// Time from the last failure until a poison request is tried again, in ms; doubles with each further
/// target that fails. A caller has given up its retries by then, so that a trial rarely costs a target, and
/// a request that only happened to be running when targets failed is served again.
const INITIAL_QUARANTINE_MS: u64 = 20_000;
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

    fn is_poison(&self) -> bool {
        self.stated_targets >= POISON_TARGETS
            || self.targets.len() >= POISON_TARGETS && self.rounds() >= POISON_ROUNDS
    }

    /// Returns the time for which the request is kept from targets, in ms; 0 while it isn't poison.
    fn quarantine_ms(&self) -> u64 {
        if !self.is_poison() {
            return 0;
        }
        let further = self.count() - POISON_TARGETS;
        INITIAL_QUARANTINE_MS << further.min(MAX_DOUBLINGS)
    }
}

/// Counts, over all instances, the targets that failed while they ran the same request.
///
/// Keeps a request that crashes every target from spreading while its caller retries it at any instance:
/// after `POISON_TARGETS` targets it is sent to no other. Targets are counted, not failures, because one
/// target that loses power fails all requests with the same fingerprint that it has in flight. Targets that had the
/// request at the same time may have lost power together, so that at least one must have got it after another had
/// failed. A request that any target has served is not poison, however often it failed before.
#[derive(Debug, Default)]
pub struct CrashTracker {
    records: HashMap<Fingerprint, CrashRecord>,
    /// When requests were last cleared that had been suspected.
    cleared: HashMap<Fingerprint, MonoMs>,
}

impl CrashTracker {
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
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.is_poison(), record.last_crash_at));
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
        let record = self.record(last_crash_at, stated.fingerprint);
        if record.is_poison() && record.count() >= targets {
            return false;
        }
        record.last_crash_at = record.last_crash_at.max(last_crash_at);
        record.stated_targets = targets;
        true
    }

    /// Returns what there is to state of a request; `None` unless it is poison.
    pub fn condemnation(&self, now: MonoMs, fingerprint: Fingerprint) -> Option<Condemnation> {
        let record = self.records.get(&fingerprint)?;
        record.is_poison().then(|| Condemnation {
            fingerprint,
            targets: record.count() as u32,
            age_ms: now.since(record.last_crash_at),
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

    /// Returns whether a request has crashed so many targets that it is sent again in trials only.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(CrashRecord::is_poison)
    }

    /// Returns whether a request is to be kept from targets now.
    pub fn is_poison(&self, now: MonoMs, fingerprint: Fingerprint) -> bool {
        self.records
            .get(&fingerprint)
            .is_some_and(|record| now.since(record.last_crash_at) < record.quarantine_ms())
    }

    /// Removes records that have expired.
    pub fn evict_expired(&mut self, now: MonoMs) {
        self.cleared
            .retain(|_, cleared_at| now.since(*cleared_at) < CRASH_RETENTION_MS);
        self.records.retain(|_, record| {
            now.since(record.last_crash_at) < CRASH_RETENTION_MS + record.quarantine_ms()
        });
    }
}
