use {
    crate::{fleet::Crash, names::TargetId},
    std::collections::{HashMap, HashSet},
    whinlatch_core::MonoMs,
};

/// Hash of account, path and body; the same for a request that its caller sends again.
pub type Fingerprint = u64;

/// Targets that broke off the work on a request after which it is taken to crash what runs it.
const CRASHES: usize = 3;
/// Time after the last break before such a request is tried once more, in ms; it doubles with each
/// further target that breaks. A caller is done with its repeats by then, so that a trial costs a
/// target rarely; and a request that only happened to be there is served again.
const FIRST_HOLD_MS: u64 = 20_000;
/// Most doublings of that time: it is some ten minutes then.
const MOST_DOUBLINGS: usize = 5;
/// Time for which a break counts, in ms: callers that repeat do so within their deadline of some
/// ten seconds, and again with the next attempt.
const REMEMBER_MS: u64 = 60_000;

#[derive(Debug)]
struct Breaks {
    targets: HashSet<TargetId>,
    last: MonoMs,
}

impl Breaks {
    /// Time for which the request is kept from targets, in ms.
    fn hold_ms(&self) -> u64 {
        match self.targets.len().checked_sub(CRASHES) {
            None => 0,
            Some(further) => FIRST_HOLD_MS << further.min(MOST_DOUBLINGS),
        }
    }
}

/// Counts, over all instances, how many targets broke off the work on the same request.
///
/// Guards against a request that crashes each target that runs it while its caller repeats it at
/// any instance: after `CRASHES` targets it is kept from all others. Targets are counted, not
/// breaks: one that loses power breaks off each request of a popular kind that it has at work. What
/// any target served is none of these requests, however often it was broken off.
#[derive(Debug, Default)]
pub struct CrashBook {
    breaks: HashMap<Fingerprint, Breaks>,
}

impl CrashBook {
    /// Notes that a target broke off, seen here or told by a peer. Returns whether that is news.
    pub fn note(&mut self, now: MonoMs, crash: &Crash) -> bool {
        let breaks = self.breaks.entry(crash.fingerprint).or_insert(Breaks {
            targets: HashSet::new(),
            last: now,
        });
        let is_news = breaks.targets.insert(crash.target.clone());
        if is_news {
            breaks.last = now;
        }
        is_news
    }

    /// Notes that a target served the request, here or told by a peer: it isn't what broke the
    /// others. Returns whether that is news.
    pub fn served(&mut self, fingerprint: Fingerprint) -> bool {
        self.breaks.remove(&fingerprint).is_some()
    }

    /// Whether a request is to be kept from targets now.
    pub fn is_poison(&self, now: MonoMs, fingerprint: Fingerprint) -> bool {
        self.breaks
            .get(&fingerprint)
            .is_some_and(|breaks| now.since(breaks.last) < breaks.hold_ms())
    }

    /// Forgets what is long ago.
    pub fn forget_old(&mut self, now: MonoMs) {
        self.breaks
            .retain(|_, breaks| now.since(breaks.last) < REMEMBER_MS + breaks.hold_ms());
    }
}
