use {
    crate::{fleet::Crash, names::TargetId},
    std::collections::{HashMap, HashSet},
    whinlatch_core::MonoMs,
};

/// Hash of account, path and body; equal for a request that its caller retries.
pub type Fingerprint = u64;

/// Number of targets that must fail while they run a request before the request counts as poison.
const POISON_TARGETS: usize = 3;
/// Time from the last failure until a poison request is tried again, in ms; doubles with each further
/// target that fails. A caller has given up its retries by then, so that a trial rarely costs a target, and
/// a request that only happened to be running when targets failed is served again.
const INITIAL_QUARANTINE_MS: u64 = 20_000;
/// Maximum number of doublings of that time, which is about ten minutes then.
const MAX_DOUBLINGS: usize = 5;
/// Time for which a failure counts, in ms: callers retry within their deadline of about ten seconds, and
/// again with their next attempt.
const CRASH_RETENTION_MS: u64 = 60_000;

#[derive(Debug)]
struct CrashRecord {
    targets: HashSet<TargetId>,
    last_crash_at: MonoMs,
}

impl CrashRecord {
    /// Returns the time for which the request is kept from targets, in ms; 0 while it isn't poison.
    fn quarantine_ms(&self) -> u64 {
        match self.targets.len().checked_sub(POISON_TARGETS) {
            None => 0,
            Some(further) => INITIAL_QUARANTINE_MS << further.min(MAX_DOUBLINGS),
        }
    }
}

/// Counts, over all instances, the targets that failed while they ran the same request.
///
/// Keeps a request that crashes every target from spreading while its caller retries it at any instance:
/// after `POISON_TARGETS` targets it is sent to no other. Targets are counted, not failures, because one
/// target that loses power fails all requests with the same fingerprint that it has in flight. A request
/// that any target has served is not poison, however often it failed before.
#[derive(Debug, Default)]
pub struct CrashTracker {
    records: HashMap<Fingerprint, CrashRecord>,
}

impl CrashTracker {
    /// Records a failure that was seen here or reported by a peer. Returns whether it is new.
    pub fn record_crash(&mut self, now: MonoMs, crash: &Crash) -> bool {
        let record = self
            .records
            .entry(crash.fingerprint)
            .or_insert(CrashRecord {
                targets: HashSet::new(),
                last_crash_at: now,
            });
        let is_new = record.targets.insert(crash.target.clone());
        if is_new {
            record.last_crash_at = now;
        }
        is_new
    }

    /// Records that a target served the request, here or at a peer, so that it didn't cause the earlier
    /// failures. Returns whether there were any.
    pub fn record_served(&mut self, fingerprint: Fingerprint) -> bool {
        self.records.remove(&fingerprint).is_some()
    }

    /// Returns whether a request is to be kept from targets now.
    pub fn is_poison(&self, now: MonoMs, fingerprint: Fingerprint) -> bool {
        self.records
            .get(&fingerprint)
            .is_some_and(|record| now.since(record.last_crash_at) < record.quarantine_ms())
    }

    /// Removes records that have expired.
    pub fn evict_expired(&mut self, now: MonoMs) {
        self.records.retain(|_, record| {
            now.since(record.last_crash_at) < CRASH_RETENTION_MS + record.quarantine_ms()
        });
    }
}
