use {
    super::Casualties,
    crate::time::MonoMs,
    std::collections::{BTreeMap, HashMap},
    whinlatch_wire::{
        ids::{Incarnation, TargetName},
        peer::PoisonNews,
    },
};

/// How long a suspicion is remembered after the last death, in ms.
const KEEP_MS: u64 = 600_000;
/// Suspects that are remembered.
const MAX_CASES: usize = 2_000;
/// Runs of targets remembered for one suspect.
const MAX_DEATHS: usize = 16;
/// Targets that one request may bring down at most, whether it ran alone or not.
const MAX_TARGETS: usize = 3;

/// What is thought of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// A target died or may have died with it in flight. It runs alone.
    Suspect,
    /// Whether it is poison depends on a target that is silent but may live. It waits.
    InDoubt,
    /// It brought down too many targets.
    Poison {
        /// For how much longer it is refused, in ms.
        keep_ms: u64,
    },
}

/// What a death says of a request that was in flight there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Death {
    /// Others were in flight there too.
    Shared,
    /// It was alone there.
    Alone,
    /// It has completed since, so that something else was the cause.
    Absolved,
}

/// Requests, by fingerprint, that were in flight when targets died.
///
/// Guards against a request that crashes each target that runs it and is sent again. It shows as
/// a broken or silent attempt followed by a new run of the target, or none. Deaths are counted by
/// the target's incarnation, so that the same death told twice, or by two daemons, counts once.
#[derive(Debug, Default)]
pub struct PoisonBook {
    cases: HashMap<u64, Case>,
    casualties: Casualties,
}

#[derive(Debug)]
struct Case {
    deaths: BTreeMap<Incarnation, Death>,
    until: MonoMs,
}

/// What became of a run of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is dead, or nothing reaches it.
    Dead,
    /// It reported, last at this moment.
    Alive(MonoMs),
    /// Nothing was heard yet.
    Unsure,
}

impl PoisonBook {
    /// Notes that an attempt at a run of a target broke off with `in_flight` there, and whether
    /// `others` had work there.
    pub fn broke_off(
        &mut self,
        now: MonoMs,
        target: &TargetName,
        incarnation: Incarnation,
        in_flight: impl Iterator<Item = u64>,
        others: bool,
    ) {
        self.casualties
            .note(now, target, incarnation, in_flight, others);
    }

    /// Decides about targets where attempts broke off. Returns what peers are to be told.
    pub fn settle(
        &mut self,
        now: MonoMs,
        fate: impl Fn(&TargetName, Incarnation) -> Fate,
    ) -> Vec<PoisonNews> {
        let mut news = Vec::new();
        for dead in self.casualties.settle(now, fate) {
            let death = if dead.was_alone() {
                Death::Alone
            } else {
                Death::Shared
            };
            for fingerprint in dead.in_flight {
                self.note(now + KEEP_MS, fingerprint, dead.incarnation, death);
                news.extend(self.news_of(now, fingerprint));
            }
        }
        news
    }

    /// Notes that a request completed: what it was suspected of had another cause. Returns what
    /// peers are to be told.
    pub fn completed(&mut self, fingerprint: u64) -> Option<PoisonNews> {
        self.casualties.absolve(fingerprint);
        let case = self.cases.get_mut(&fingerprint)?;
        let absolved = case.absolve(|_| true);
        (!absolved.is_empty()).then_some(PoisonNews {
            fingerprint,
            deaths: absolved,
            keep_ms: 0,
            alone: Vec::new(),
        })
    }

    /// Takes in what a peer tells: deaths, or with `keep_ms` 0 that they had another cause.
    /// Returns whether it was news.
    pub fn merge(&mut self, now: MonoMs, news: &PoisonNews) -> bool {
        if news.keep_ms == 0 {
            let case = self.cases.get_mut(&news.fingerprint);
            let absolved = case.map(|case| case.absolve(|run| news.deaths.contains(&run)));
            return absolved.is_some_and(|absolved| !absolved.is_empty());
        }
        let until = now + news.keep_ms.min(KEEP_MS);
        let mut fresh = false;
        for run in &news.deaths {
            let death = if news.alone.contains(run) {
                Death::Alone
            } else {
                Death::Shared
            };
            fresh |= self.note(until, news.fingerprint, *run, death);
        }
        fresh
    }

    /// What is thought of a request, where `alone_limit` deaths alone make it poison.
    pub fn standing(&self, now: MonoMs, fingerprint: u64, alone_limit: u32) -> Standing {
        let (open, open_alone) = self.casualties.count(fingerprint);
        let case = self.cases.get(&fingerprint);
        let case = case.filter(|case| case.until > now);
        let (all, alone) = case.map_or((0, 0), Case::count);
        let limit = (alone_limit.max(1) as usize).min(MAX_TARGETS);
        let over = |all: usize, alone: usize| all >= MAX_TARGETS || alone >= limit;
        match case {
            Some(case) if over(all, alone) => Standing::Poison {
                keep_ms: case.until.since(now),
            },
            _ if over(all + open, alone + open_alone) => Standing::InDoubt,
            _ if all + open > 0 => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// Whether there is no suspicion at all.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty() && self.casualties.is_empty()
    }

    /// Forgets what is over.
    pub fn forget_old(&mut self, now: MonoMs) {
        self.cases.retain(|_, case| case.until > now);
    }

    fn note(&mut self, until: MonoMs, fingerprint: u64, run: Incarnation, death: Death) -> bool {
        if !self.cases.contains_key(&fingerprint) {
            self.make_room();
        }
        let case = self.cases.entry(fingerprint).or_insert(Case {
            deaths: BTreeMap::new(),
            until,
        });
        if case.deaths.contains_key(&run) || case.deaths.len() >= MAX_DEATHS {
            return false;
        }
        case.deaths.insert(run, death);
        case.until = case.until.max(until);
        true
    }

    /// Makes room for one case: the one with the fewest deaths goes, then the oldest.
    fn make_room(&mut self) {
        if self.cases.len() < MAX_CASES {
            return;
        }
        let least = self
            .cases
            .iter()
            .min_by_key(|(fingerprint, case)| (case.count().0, case.until, **fingerprint))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = least {
            self.cases.remove(&fingerprint);
        }
    }

    fn news_of(&self, now: MonoMs, fingerprint: u64) -> Option<PoisonNews> {
        let case = self.cases.get(&fingerprint)?;
        Some(PoisonNews {
            fingerprint,
            deaths: case.runs(|death| death != Death::Absolved),
            keep_ms: case.until.since(now),
            alone: case.runs(|death| death == Death::Alone),
        })
    }
}

impl Case {
    fn runs(&self, of: impl Fn(Death) -> bool) -> Vec<Incarnation> {
        let runs = self.deaths.iter().filter(|(_, death)| of(**death));
        runs.map(|(run, _)| *run).collect()
    }

    /// Deaths that count, and those of them alone.
    fn count(&self) -> (usize, usize) {
        let all = self.deaths.values().filter(|d| **d != Death::Absolved);
        let alone = self.deaths.values().filter(|d| **d == Death::Alone);
        (all.count(), alone.count())
    }

    fn absolve(&mut self, of: impl Fn(Incarnation) -> bool) -> Vec<Incarnation> {
        let mut absolved = Vec::new();
        for (run, death) in &mut self.deaths {
            if of(*run) && *death != Death::Absolved {
                *death = Death::Absolved;
                absolved.push(*run);
            }
        }
        absolved
    }
}
