//! Breaks under requests: whether the request has crashed its target, the target has closed the connection, or the link
//! of this instance is broken.

use {
    super::Serving,
    crate::{
        fleet::{Condemnation, Crash},
        names::{SharedParts, TargetId},
        retries::{Blame, BreakVerdict, BrokenRun, Fingerprint, Suspect},
        targets::TargetEntry,
    },
    std::sync::Arc,
    whinlatch_core::MonoMs,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Other targets to which connections are opened beside one that may have died, to find out whether the link of this
/// instance works.
const WITNESSES: usize = 3;

/// Limit for the number of notes for the log that wait.
const MAX_BLAMES: usize = 256;
/// Longest time by which an instance delays the trial of a request or part, in ms.
pub(super) const MAX_TRIAL_DELAY_MS: u64 = 10_000;

/// A connection that broke while its target may have been running a request.
#[derive(Debug, Clone, Copy)]
pub struct BrokenAttempt<'a> {
    /// Run of the target.
    pub target: &'a TargetId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that others may share; none once the answer had gone on well for some time.
    pub parts: &'a SharedParts,
    /// When the request was sent.
    pub sent_at: MonoMs,
    /// Whether the break itself shows that the target broke off its work: it had begun to answer, or it closed a
    /// connection that was opened for the request.
    pub is_proven: bool,
}

/// A target that may have died, and others to which connections show whether the link of this instance works.
#[derive(Debug, Clone)]
pub struct Inquiry {
    /// The target.
    pub target: TargetEntry,
    /// The others, drawn at random; none if there are no others.
    pub witnesses: Vec<TargetEntry>,
}

impl Serving {
    /// Records that a connection broke under a request. It counts against the request at once if the break itself shows
    /// that the target broke off its work, and later if the target turns out to have died. Against the parts of its prompt
    /// it counts only then: a target that lives may break off streams of any kind.
    pub fn record_broken_attempt(
        &mut self,
        now: MonoMs,
        attempt: &BrokenAttempt<'_>,
    ) -> BreakVerdict {
        let mut broken = BrokenRun {
            fingerprint: Some(attempt.fingerprint),
            parts: Arc::clone(attempt.parts),
            sent_at: attempt.sent_at,
            broke_at: now,
            looks_whole: false,
        };
        if attempt.is_proven && !self.is_link_suspect(now, attempt.target) {
            self.count_request_crash(now, attempt.fingerprint, &broken, attempt.target);
            self.confirm_related(now, attempt.target);
            broken.fingerprint = None;
            if !broken.parts.is_empty() {
                // If too many wait, nothing is known of this one.
                let _added = self.unexplained.add(attempt.target, broken);
            }
            return BreakVerdict::Counted;
        }
        if self.unexplained.add(attempt.target, broken) {
            BreakVerdict::Unexplained
        } else {
            self.record_verdict(BreakVerdict::Unsolved, 1);
            BreakVerdict::Unsolved
        }
    }

    /// Records an answer of which nothing but the end of its connection tells that it is whole. It counts against the
    /// request if the target turns out to have died, and else says nothing of it.
    ///
    /// Guards against a request that crashes its targets and is taken for served each time: a process that crashes closes
    /// its connections too.
    pub fn record_unproven_answer(
        &mut self,
        now: MonoMs,
        fingerprint: Fingerprint,
        parts: &SharedParts,
        target: &TargetId,
        sent_at: MonoMs,
    ) {
        let ended = BrokenRun {
            fingerprint: Some(fingerprint),
            parts: Arc::clone(parts),
            sent_at,
            broke_at: now,
            looks_whole: true,
        };
        // If too many wait, nothing is known of this one.
        let _added = self.unexplained.add(target, ended);
    }

    /// Records that a target failed while it ran a request, and queues a notice for all peers. Has no effect if the link
    /// of this instance is suspect.
    ///
    /// Guards against a request that counts as one which crashes its targets, because an instance that was cut off lost
    /// its connections to several of them.
    pub fn record_crash(&mut self, now: MonoMs, fingerprint: Fingerprint, target: &TargetId) {
        if self.is_link_suspect(now, target) {
            return;
        }
        let broken = BrokenRun {
            fingerprint: Some(fingerprint),
            parts: SharedParts::default(),
            sent_at: now,
            broke_at: now,
            looks_whole: false,
        };
        self.count_crash(now, &broken, target);
    }

    /// Counts the end of a run, of which it is known that its target crashed, against the request and its parts.
    fn count_crash(&mut self, now: MonoMs, broken: &BrokenRun, target: &TargetId) {
        if let Some(fingerprint) = broken.fingerprint {
            self.count_request_crash(now, fingerprint, broken, target);
        }
        if !broken.parts.is_empty() {
            self.count_part_crash(now, broken, target);
        }
    }

    fn count_request_crash(
        &mut self,
        now: MonoMs,
        fingerprint: Fingerprint,
        broken: &BrokenRun,
        target: &TargetId,
    ) {
        let crash = Crash {
            fingerprint,
            target: target.clone(),
            ran_ms: broken.broke_at.since(broken.sent_at),
            age_ms: now.since(broken.broke_at),
        };
        if self.apply_crash(now, &crash) {
            self.news.for_all().crashes.push(crash);
        }
    }

    /// Records a crash that was seen here or by a peer, and queues a statement for all peers if the request is poison
    /// since: they may not have heard of all crashes. Returns whether the crash is new.
    pub(super) fn apply_crash(&mut self, now: MonoMs, crash: &Crash) -> bool {
        let fingerprint = crash.fingerprint;
        let was_poison = self.crashes.is_suspect(fingerprint);
        let is_new = self.crashes.record_crash(now, crash);
        if !was_poison && let Some(stated) = self.crashes.condemnation(now, fingerprint) {
            self.note_blame(Suspect::Request(fingerprint), stated.targets);
            self.news.for_all().condemned.push(stated);
        }
        is_new
    }

    /// Applies a peer's statement that a request is poison. Returns whether it is news.
    pub(super) fn apply_condemnation(&mut self, now: MonoMs, stated: &Condemnation) -> bool {
        let was_poison = self.crashes.is_suspect(stated.fingerprint);
        let is_news = self.crashes.apply_condemnation(now, stated);
        if is_news && !was_poison {
            self.note_blame(Suspect::Request(stated.fingerprint), stated.targets);
        }
        is_news
    }

    /// Records that a target served a request, here or at a peer. Returns whether it was suspected.
    pub(super) fn clear_request(&mut self, now: MonoMs, fingerprint: Fingerprint) -> bool {
        if self.crashes.is_suspect(fingerprint) {
            self.note_blame(Suspect::Request(fingerprint), 0);
        }
        self.crashes.record_served(now, fingerprint)
    }

    /// Notes for the log that a suspect is refused from now on, since it has crashed a number of targets, or that it isn't
    /// any more, with none.
    pub(super) fn note_blame(&mut self, suspect: Suspect, targets: u32) {
        if self.blames.len() < MAX_BLAMES {
            self.blames.push(Blame {
                suspect,
                targets,
                is_refused: targets > 0,
            });
        }
    }

    /// Returns what has been noted for the log since the last call.
    pub fn take_blames(&mut self) -> Vec<Blame> {
        std::mem::take(&mut self.blames)
    }

    /// Returns the statements that begin a link: those of all requests that are poison. In a large fleet only hubs make
    /// them, since each instance has links to all of these.
    pub(super) fn condemnations_to_greet_with(&self, now: MonoMs) -> Vec<Condemnation> {
        if self.members.is_large() && !self.is_hub() {
            return Vec::new();
        }
        self.crashes.condemnations(now)
    }

    /// Returns whether a request is to be kept from targets, since it has crashed several. After some time it is sent once
    /// more, as a trial, and not repeated then. Each instance waits a little longer by a time of its own, so that few have
    /// begun when the first trial has shown whether the request still crashes its target.
    pub(super) fn is_kept_from_targets(
        &self,
        now: MonoMs,
        fingerprint: Fingerprint,
        is_repeat: bool,
    ) -> bool {
        if !self.crashes.is_suspect(fingerprint) {
            return false;
        }
        let draw = xxh3_64_with_seed(&fingerprint.to_le_bytes(), self.own.run);
        let delayed = MonoMs(now.0.saturating_sub(draw % MAX_TRIAL_DELAY_MS));
        is_repeat || self.crashes.is_poison(delayed, fingerprint)
    }

    /// Records that a target served a request. If a target had crashed on it before, the request is no longer
    /// suspected, and a notice is queued for all peers.
    pub fn record_served(&mut self, now: MonoMs, fingerprint: Fingerprint) {
        if self.clear_request(now, fingerprint) {
            self.news.for_all().served.push(fingerprint);
        }
    }

    /// Records that a target answered a request that was sent at `sent_at`, so that it has survived the breaks before.
    pub fn record_survived(&mut self, target: &TargetId, sent_at: MonoMs) {
        let survived = self.unexplained.remove_survived(target, sent_at);
        self.record_verdict(BreakVerdict::Survived, survived);
    }

    /// Returns whether breaks wait for the fate of their targets.
    pub fn has_unexplained_breaks(&self) -> bool {
        !self.unexplained.is_empty()
    }

    /// Returns the targets to which a connection should be opened now, since connections to them broke for a reason that
    /// isn't known. There are none while a target's service is out of reach.
    pub fn take_inquiries(&mut self, now: MonoMs) -> Vec<Inquiry> {
        if self.unexplained.is_empty() {
            return Vec::new();
        }
        let mut unexplained = std::mem::take(&mut self.unexplained);
        let due = unexplained.take_inquiries(now, |id| {
            let target = self.targets.entry(id);
            target.is_some_and(|target| !self.is_out_of_reach(&target.service))
        });
        self.unexplained = unexplained;
        let mut inquiries = Vec::new();
        for id in due {
            if let Some(target) = self.targets.entry(&id).cloned() {
                let witnesses = self.draw_witnesses(&id);
                inquiries.push(Inquiry { target, witnesses });
            }
        }
        inquiries
    }

    /// Draws other targets at random. None is left out for breaks of its own: those that are left would be the ones that
    /// an instance still reaches which is cut off from all others.
    fn draw_witnesses(&mut self, target: &TargetId) -> Vec<TargetEntry> {
        let others = self.targets.all_ready();
        let mut others: Vec<TargetEntry> = others
            .filter(|other| other.id != *target)
            .cloned()
            .collect();
        self.rng.shuffle(&mut others);
        others.truncate(WITNESSES);
        others
    }

    /// Applies what came of an inquiry. `opened` is the number of witnesses to which a connection opened. The breaks at a
    /// target that lives count against no request; those at one that is gone do if the link of this instance works.
    pub fn record_inquiry(&mut self, now: MonoMs, inquiry: &Inquiry, lives: bool, opened: usize) {
        let target = &inquiry.target.id;
        if lives {
            let survived = self.unexplained.remove_connected(now, target);
            self.record_verdict(BreakVerdict::Survived, survived);
        } else if 2 * opened > inquiry.witnesses.len() {
            self.confirm_breaks(now, target);
        }
    }

    /// Counts the breaks that go with a crash which another request or a peer has shown.
    pub(super) fn confirm_related(&mut self, now: MonoMs, target: &TargetId) {
        let related = self.unexplained.take_crashed(now, target);
        self.count_died(now, target, &related);
    }

    /// Counts the breaks at a target that has died against the requests that it was running.
    fn confirm_breaks(&mut self, now: MonoMs, target: &TargetId) {
        let mut breaks = self.unexplained.take_died(target);
        // One that leaves ends after its last answers.
        if !self.takes_requests(target) {
            breaks.retain(|broken| !broken.looks_whole);
        }
        self.count_died(now, target, &breaks);
    }

    fn count_died(&mut self, now: MonoMs, target: &TargetId, breaks: &[BrokenRun]) {
        let judged = breaks.iter().filter(|broken| broken.fingerprint.is_some());
        self.record_verdict(BreakVerdict::Died, judged.count());
        for broken in breaks {
            self.count_crash(now, broken, target);
        }
    }

    /// Counts the breaks at targets whose entries are gone, and gives up those that nothing has explained.
    pub(super) fn settle_breaks(&mut self, now: MonoMs) {
        let ids = self.unexplained.targets();
        let gone: Vec<TargetId> = ids
            .filter(|id| self.targets.entry(id).is_none())
            .cloned()
            .collect();
        for target in gone {
            self.confirm_breaks(now, &target);
        }
        let expired = self.unexplained.evict_expired(now);
        self.record_verdict(BreakVerdict::Unsolved, expired);
    }

    fn record_verdict(&mut self, verdict: BreakVerdict, breaks: usize) {
        self.break_verdicts
            .extend(std::iter::repeat_n(verdict, breaks));
    }

    /// Returns the final verdicts on breaks that were unexplained, since the last call.
    pub fn take_break_verdicts(&mut self) -> Vec<BreakVerdict> {
        std::mem::take(&mut self.break_verdicts)
    }
}
