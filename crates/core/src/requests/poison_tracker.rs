use {
    super::CrashedTargets,
    crate::time::MonoMs,
    std::collections::{BTreeMap, HashMap},
    whinlatch_wire::{
        ids::{Incarnation, TargetName},
        peer::PoisonNews,
    },
};

/// How long a suspicion is kept after the last crash, in ms.
const SUSPICION_TTL_MS: u64 = 600_000;
/// Maximum number of suspected requests; beyond it [`PoisonTracker::evict_weakest`] drops one.
const MAX_SUSPECTS: usize = 2_000;
/// Maximum number of crashed target runs kept for one suspect.
const MAX_CRASHES_PER_SUSPECT: usize = 16;
/// Number of crashed targets after which a request is poison, whether or not it ran alone there.
const MAX_CRASHED_TARGETS: usize = 3;

/// How strongly a request is suspected of crashing targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// No target is known to have crashed while it was in flight there.
    Clear,
    /// A target crashed, or may have crashed, with the request in flight. It must run alone.
    Suspected,
    /// Whether it is poison depends on a silent target whose crash isn't confirmed. It must wait.
    Unconfirmed,
    /// It crashed too many targets and is refused.
    Poison {
        /// Time until the refusal ends, in ms.
        remaining_ms: u64,
    },
}

/// How a request was involved in the crash of a target where it was in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Crash {
    /// Other requests were in flight at the target too.
    Shared,
    /// It was the only request at the target.
    Alone,
    /// The request has completed since, so the crash had another cause.
    Cleared,
}

/// Tracks requests, by fingerprint, that were in flight when targets crashed.
///
/// Guards against a request that crashes every target that runs it and is retried. It shows as a
/// broken or silent attempt, followed by a new run of the target or by none. Crashes are keyed by the
/// target's incarnation, so a crash that is reported twice, or by two daemons, counts once.
#[derive(Debug, Default)]
pub struct PoisonTracker {
    histories: HashMap<u64, CrashHistory>,
    crashed_targets: CrashedTargets,
}

#[derive(Debug)]
struct CrashHistory {
    crashes: BTreeMap<Incarnation, Crash>,
    expires_at: MonoMs,
}

/// Status of a run of a target, as far as this daemon knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// It was replaced by another run, or is unreachable.
    Dead,
    /// It reported, most recently at this time.
    Alive(MonoMs),
    /// The target isn't known here.
    Unknown,
}

impl PoisonTracker {
    /// Records that an attempt broke at a run of a target. `in_flight` are the fingerprints of this daemon's
    /// requests there; `has_other_work` is whether other daemons had work there.
    pub fn record_broken_attempt(
        &mut self,
        now: MonoMs,
        target: &TargetName,
        incarnation: Incarnation,
        in_flight: impl Iterator<Item = u64>,
        has_other_work: bool,
    ) {
        self.crashed_targets
            .record(now, target, incarnation, in_flight, has_other_work);
    }

    /// Checks the targets where attempts broke and records a crash for each one that died. Returns the news to
    /// send to peers.
    pub fn resolve_crashes(
        &mut self,
        now: MonoMs,
        status: impl Fn(&TargetName, Incarnation) -> RunStatus,
    ) -> Vec<PoisonNews> {
        let mut news = Vec::new();
        for dead in self.crashed_targets.resolve(now, status) {
            let crash = if dead.was_alone() {
                Crash::Alone
            } else {
                Crash::Shared
            };
            for fingerprint in dead.in_flight {
                self.record_crash(now + SUSPICION_TTL_MS, fingerprint, dead.incarnation, crash);
                news.extend(self.news_for(now, fingerprint));
            }
        }
        news
    }

    /// Clears a request that completed: the crashes it was suspected of had another cause. Returns the
    /// news to send to peers.
    pub fn clear_completed(&mut self, fingerprint: u64) -> Option<PoisonNews> {
        self.crashed_targets.clear(fingerprint);
        let history = self.histories.get_mut(&fingerprint)?;
        let cleared = history.clear(|_| true);
        (!cleared.is_empty()).then_some(PoisonNews {
            fingerprint,
            deaths: cleared,
            keep_ms: 0,
            alone: Vec::new(),
        })
    }

    /// Merges news from a peer: crashes, or, if `keep_ms` is 0, that those crashes had another cause.
    /// Returns whether anything changed.
    pub fn merge(&mut self, now: MonoMs, news: &PoisonNews) -> bool {
        if news.keep_ms == 0 {
            let history = self.histories.get_mut(&news.fingerprint);
            let cleared = history.map(|history| history.clear(|run| news.deaths.contains(&run)));
            return cleared.is_some_and(|cleared| !cleared.is_empty());
        }
        let expires_at = now + news.keep_ms.min(SUSPICION_TTL_MS);
        let mut fresh = false;
        for run in &news.deaths {
            let crash = if news.alone.contains(run) {
                Crash::Alone
            } else {
                Crash::Shared
            };
            fresh |= self.record_crash(expires_at, news.fingerprint, *run, crash);
        }
        fresh
    }

    /// Returns the suspicion against a request. `alone_limit` crashes with it alone at the target make
    /// it poison.
    pub fn suspicion(&self, now: MonoMs, fingerprint: u64, alone_limit: u32) -> Suspicion {
        let (open, open_alone) = self.crashed_targets.count(fingerprint);
        let history = self.histories.get(&fingerprint);
        let history = history.filter(|history| history.expires_at > now);
        let (all, alone) = history.map_or((0, 0), CrashHistory::count);
        let limit = (alone_limit.max(1) as usize).min(MAX_CRASHED_TARGETS);
        let over = |all: usize, alone: usize| all >= MAX_CRASHED_TARGETS || alone >= limit;
        match history {
            Some(history) if over(all, alone) => Suspicion::Poison {
                remaining_ms: history.expires_at.since(now),
            },
            _ if over(all + open, alone + open_alone) => Suspicion::Unconfirmed,
            _ if all + open > 0 => Suspicion::Suspected,
            _ => Suspicion::Clear,
        }
    }

    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty() && self.crashed_targets.is_empty()
    }

    /// Evicts suspicions whose retention time has passed.
    pub fn evict_expired(&mut self, now: MonoMs) {
        self.histories.retain(|_, history| history.expires_at > now);
    }

    fn record_crash(
        &mut self,
        expires_at: MonoMs,
        fingerprint: u64,
        run: Incarnation,
        crash: Crash,
    ) -> bool {
        if !self.histories.contains_key(&fingerprint) {
            self.evict_weakest();
        }
        let history = self.histories.entry(fingerprint).or_insert(CrashHistory {
            crashes: BTreeMap::new(),
            expires_at,
        });
        if history.crashes.contains_key(&run) || history.crashes.len() >= MAX_CRASHES_PER_SUSPECT {
            return false;
        }
        history.crashes.insert(run, crash);
        history.expires_at = history.expires_at.max(expires_at);
        true
    }

    /// Evicts one history if the table is full: the one with the fewest crashes, the oldest among equals.
    fn evict_weakest(&mut self) {
        if self.histories.len() < MAX_SUSPECTS {
            return;
        }
        let weakest = self
            .histories
            .iter()
            .min_by_key(|(fingerprint, history)| {
                (history.count().0, history.expires_at, **fingerprint)
            })
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = weakest {
            self.histories.remove(&fingerprint);
        }
    }

    fn news_for(&self, now: MonoMs, fingerprint: u64) -> Option<PoisonNews> {
        let history = self.histories.get(&fingerprint)?;
        Some(PoisonNews {
            fingerprint,
            deaths: history.runs_where(|crash| crash != Crash::Cleared),
            keep_ms: history.expires_at.since(now),
            alone: history.runs_where(|crash| crash == Crash::Alone),
        })
    }
}

impl CrashHistory {
    fn runs_where(&self, matches: impl Fn(Crash) -> bool) -> Vec<Incarnation> {
        let runs = self.crashes.iter().filter(|(_, crash)| matches(**crash));
        runs.map(|(run, _)| *run).collect()
    }

    /// Returns the number of crashes that weren't cleared, and of those with the request alone at the target.
    fn count(&self) -> (usize, usize) {
        let all = self
            .crashes
            .values()
            .filter(|crash| **crash != Crash::Cleared);
        let alone = self
            .crashes
            .values()
            .filter(|crash| **crash == Crash::Alone);
        (all.count(), alone.count())
    }

    fn clear(&mut self, matches: impl Fn(Incarnation) -> bool) -> Vec<Incarnation> {
        let mut cleared = Vec::new();
        for (run, crash) in &mut self.crashes {
            if matches(*run) && *crash != Crash::Cleared {
                *crash = Crash::Cleared;
                cleared.push(*run);
            }
        }
        cleared
    }
}
