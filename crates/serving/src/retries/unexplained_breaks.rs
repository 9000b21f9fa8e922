use {
    super::Fingerprint,
    crate::names::{SharedParts, TargetId},
    std::collections::{HashMap, HashSet},
    whinlatch_core::MonoMs,
};

/// Time from a break until its target is asked for, in ms: a link that fails has broken the connections to other targets
/// by then as well.
const INQUIRY_DELAY_MS: u64 = 100;
/// Time from an answer that only the end of its connection bounds until its target is asked for, in ms: a target in use
/// answers another request by then.
const WHOLE_INQUIRY_DELAY_MS: u64 = 1_000;
/// Time within which connections to a target end that has crashed, in ms.
const CRASH_SPREAD_MS: u64 = 300;
/// Time between two inquiries for one target, in ms.
const INQUIRY_INTERVAL_MS: u64 = 250;
/// Inquiries for one target. What they don't explain is left to the store and to peers.
const MAX_INQUIRIES: u32 = 4;
/// Time for which a break waits for an explanation, in ms: longer than the entry of a target that has died stays.
const RETENTION_MS: u64 = 8_000;
/// Limit for the number of breaks that wait.
const MAX_BREAKS: usize = 512;
/// Limit for that number from which on answers that look whole aren't added.
const MAX_WHOLE: usize = 256;
/// Time after a break within which a connection that opens shows that the target lives, in ms. Later, another target may
/// have taken over its address.
const SAME_RUN_MS: u64 = 1_500;

/// A connection that ended under a request, for a reason that isn't known yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRun {
    /// The request that its target may have been running; `None` if the break was counted against it already.
    pub fingerprint: Option<Fingerprint>,
    /// Parts of the prompt that others may share; none once the answer had gone on well for some time.
    pub parts: SharedParts,
    /// When the request was sent.
    pub sent_at: MonoMs,
    /// When the connection ended.
    pub broke_at: MonoMs,
    /// Whether the answer looks whole, since nothing but the end of its connection bounds it. A target that crashes ends
    /// it in the same way.
    pub looks_whole: bool,
}

impl BrokenRun {
    /// Returns whether the verdict on it is the first one on its request.
    fn has_verdict(&self) -> bool {
        !self.looks_whole && self.fingerprint.is_some()
    }

    fn is_settled(&self, now: MonoMs) -> bool {
        let delay_ms = if self.looks_whole {
            WHOLE_INQUIRY_DELAY_MS
        } else {
            INQUIRY_DELAY_MS
        };
        now.since(self.broke_at) >= delay_ms
    }
}

#[derive(Debug, Default)]
struct BrokenTarget {
    breaks: Vec<BrokenRun>,
    /// Whether no connection to the target could be opened since, so that it is asked for at once.
    is_unreachable: bool,
    /// Number of inquiries so far, and when the last one began.
    inquiries: u32,
    inquired_at: Option<MonoMs>,
}

impl BrokenTarget {
    fn is_inquiry_due(&self, now: MonoMs) -> bool {
        let is_settled = self.breaks.iter().any(|broken| broken.is_settled(now));
        let is_paused = self
            .inquired_at
            .is_some_and(|at| now.since(at) < INQUIRY_INTERVAL_MS);
        (is_settled || self.is_unreachable) && !is_paused && self.inquiries < MAX_INQUIRIES
    }
}

/// Connections that broke under requests, until it is known whether their target has died.
///
/// A break can be due to the request, if it crashed its target, to the target, which may close an idle connection just
/// then, or to the link of this instance. Only the target's fate tells: one that lives wasn't crashed by the request.
#[derive(Debug, Default)]
pub struct UnexplainedBreaks {
    targets: HashMap<TargetId, BrokenTarget>,
}

impl UnexplainedBreaks {
    /// Adds a break. Returns `false` if too many wait already.
    pub fn add(&mut self, target: &TargetId, broken: BrokenRun) -> bool {
        let max = if broken.looks_whole {
            MAX_WHOLE
        } else {
            MAX_BREAKS
        };
        if self.len() >= max {
            return false;
        }
        let entry = self.targets.entry(target.clone()).or_default();
        entry.breaks.push(broken);
        true
    }

    fn len(&self) -> usize {
        self.targets
            .values()
            .map(|target| target.breaks.len())
            .sum()
    }

    /// Returns whether no break waits for an explanation.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the targets of which breaks wait.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.targets.keys()
    }

    /// Records that no connection to a target could be opened.
    pub fn record_unreachable(&mut self, target: &str) {
        if let Some(target) = self.targets.get_mut(target) {
            target.is_unreachable = true;
        }
    }

    /// Returns the targets to which a connection should be opened now, to find out whether they live, of those that may be
    /// asked for.
    pub fn take_inquiries(
        &mut self,
        now: MonoMs,
        may_ask: impl Fn(&TargetId) -> bool,
    ) -> Vec<TargetId> {
        let due = self
            .targets
            .iter_mut()
            .filter(|(id, target)| target.is_inquiry_due(now) && may_ask(id));
        due.map(|(id, target)| {
            target.inquiries += 1;
            target.inquired_at = Some(now);
            id.clone()
        })
        .collect()
    }

    /// Removes and returns the ends that go with a crash of their target, which is known from another request: all breaks,
    /// and the answers that ended at the same time.
    pub fn take_crashed(&mut self, now: MonoMs, target: &str) -> Vec<BrokenRun> {
        let Some(entry) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        let is_related = |broken: &mut BrokenRun| {
            broken.has_verdict() || now.since(broken.broke_at) < CRASH_SPREAD_MS
        };
        let related = entry.breaks.extract_if(.., is_related).collect();
        if entry.breaks.is_empty() {
            self.targets.remove(target);
        }
        related
    }

    /// Removes and returns the breaks of a target that has died.
    pub fn take_died(&mut self, target: &str) -> Vec<BrokenRun> {
        let died = self.targets.remove(target);
        died.map(|target| target.breaks).unwrap_or_default()
    }

    /// Removes the breaks that a target has survived, since it answered a request that was sent at `sent_at`. Returns
    /// the number of those on which this is the first verdict, as the next two functions do.
    pub fn remove_survived(&mut self, target: &str, sent_at: MonoMs) -> usize {
        self.remove(target, |broken| broken.broke_at <= sent_at)
    }

    /// Removes the breaks that a target has survived, since a connection to it was opened.
    pub fn remove_connected(&mut self, now: MonoMs, target: &str) -> usize {
        self.remove(target, |broken| now.since(broken.broke_at) < SAME_RUN_MS)
    }

    fn remove(&mut self, target: &str, is_removed: impl Fn(&BrokenRun) -> bool) -> usize {
        let Some(entry) = self.targets.get_mut(target) else {
            return 0;
        };
        let removed = entry.breaks.extract_if(.., |broken| is_removed(broken));
        let removed = removed.filter(BrokenRun::has_verdict).count();
        if entry.breaks.is_empty() {
            self.targets.remove(target);
        }
        removed
    }

    /// Removes breaks that nothing has explained.
    pub fn evict_expired(&mut self, now: MonoMs) -> usize {
        let ids: HashSet<TargetId> = self.targets.keys().cloned().collect();
        ids.iter()
            .map(|id| self.remove(id, |broken| now.since(broken.broke_at) >= RETENTION_MS))
            .sum()
    }
}
