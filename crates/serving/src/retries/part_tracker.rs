use {
    super::{CrashLimits, CrashTracker},
    crate::{
        fleet::{Condemnation, PartCrash, SoundPart},
        names::PartId,
    },
    std::collections::{BTreeSet, HashMap},
    whinlatch_core::MonoMs,
};

/// Engines that must fail before a part is kept from engines. Each takes its other streams with it, whose parts are
/// suspected too, so that more are needed than for a request.
const LIMITS: CrashLimits = CrashLimits {
    targets: 4,
    rounds: 3,
    initial_quarantine_ms: 30_000,
};
/// Time for which an answer that went on well keeps a crash from counting against its parts, in ms.
const SOUND_TTL_MS: u64 = 1_000;
/// Limit for the number of parts of which it is remembered when they were last sound, and of those about which this
/// instance remembers its statements and trials.
const MAX_PARTS: usize = 4_096;
/// Time between two statements about one part, in ms: each may go to all instances.
const STATEMENT_INTERVAL_MS: u64 = 1_000;
/// Time for which the trial of a part keeps this instance from another one, in ms: an engine has begun to answer by then.
const TRIAL_MS: u64 = 3_000;

/// What this instance makes of a peer's statement that a part crashes engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementEffect {
    /// It is news.
    Adopted,
    /// It changes nothing.
    None,
    /// An answer went on well with the part since the first of these crashes; peers should be told.
    Refuted,
}

/// When answers last went on well with parts. What is refreshed stays, however many others are added.
#[derive(Debug, Default)]
struct SoundTimes {
    recent: HashMap<PartId, MonoMs>,
    former: HashMap<PartId, MonoMs>,
}

impl SoundTimes {
    fn get(&self, part: PartId) -> Option<MonoMs> {
        let recent = self.recent.get(&part).copied();
        recent.max(self.former.get(&part).copied())
    }

    fn set(&mut self, at: MonoMs, part: PartId) {
        if self.recent.len() >= MAX_PARTS / 2 && !self.recent.contains_key(&part) {
            self.former = std::mem::take(&mut self.recent);
        }
        let sound_at = self.recent.entry(part).or_insert(at);
        *sound_at = at.max(*sound_at);
    }
}

/// When this instance last made a statement about a part, and last tried it.
#[derive(Debug, Clone, Copy, Default)]
struct PartTimes {
    stated_at: Option<MonoMs>,
    trial_at: Option<MonoMs>,
}

/// Counts, over all instances, the engines that failed when they began to answer prompts with the same part.
///
/// The part that crashes each engine is told from those that stand beside it by answers that go on well: none does with
/// it, and some do with the others. An answer that goes on well removes all earlier crashes from its parts.
#[derive(Debug)]
pub struct PartTracker {
    crashes: CrashTracker,
    sound: SoundTimes,
    times: HashMap<PartId, PartTimes>,
    /// Parts about which there is something to state that was held back.
    held_back: BTreeSet<PartId>,
}

impl Default for PartTracker {
    fn default() -> Self {
        Self {
            crashes: CrashTracker::new(LIMITS),
            sound: SoundTimes::default(),
            times: HashMap::new(),
            held_back: BTreeSet::new(),
        }
    }
}

impl PartTracker {
    /// Records that an answer to a prompt with these parts went on well. Returns those that were kept from engines, so
    /// that peers should be told.
    pub fn record_sound(&mut self, now: MonoMs, parts: &[PartId]) -> Vec<PartId> {
        let mut cleared = Vec::new();
        for part in parts {
            let was_suspect = self.crashes.is_suspect(part.0);
            self.set_sound(now, *part);
            if was_suspect {
                cleared.push(*part);
            }
        }
        cleared
    }

    /// Records what a peer says of a part with which an answer went on well. Returns whether it is news for a part that is
    /// suspected.
    pub fn apply_sound(&mut self, now: MonoMs, sound: &SoundPart) -> bool {
        self.set_sound(MonoMs(now.0.saturating_sub(sound.age_ms)), sound.part)
    }

    /// Returns whether crashes of the part were removed.
    fn set_sound(&mut self, at: MonoMs, part: PartId) -> bool {
        self.sound.set(at, part);
        self.crashes.clear_until(at, part.0)
    }

    /// Records that an engine failed while it began to answer a prompt. Returns the parts for which that is news.
    pub fn record_crash(&mut self, now: MonoMs, crash: &PartCrash) -> Vec<PartId> {
        let failed_at = MonoMs(now.0.saturating_sub(crash.age_ms));
        let parts = crash.parts.iter().copied();
        parts
            .filter(|part| {
                let is_sound = self
                    .sound
                    .get(*part)
                    .is_some_and(|at| at >= failed_at || failed_at.since(at) < SOUND_TTL_MS);
                !is_sound && self.crashes.record_crash(now, &crash.of_part(*part))
            })
            .collect()
    }

    /// Returns what there is to state of a part; `None` unless it is kept from engines.
    pub fn condemnation(&self, now: MonoMs, part: PartId) -> Option<Condemnation> {
        self.crashes.condemnation(now, part.0)
    }

    /// Returns what there is to state of a part that is kept from engines. It is held back if something was stated of it a
    /// short time ago.
    pub fn take_statement(&mut self, now: MonoMs, part: PartId) -> Option<Condemnation> {
        let stated = self.condemnation(now, part)?;
        self.may_state(now, part).then_some(stated)
    }

    /// Returns what there is to tell peers of a part with which an answer went on well. It is held back as statements are.
    pub fn take_refutation(&mut self, now: MonoMs, part: PartId) -> Option<SoundPart> {
        let sound_at = self.sound.get(part)?;
        let sound = SoundPart {
            part,
            age_ms: now.since(sound_at),
        };
        self.may_state(now, part).then_some(sound)
    }

    fn may_state(&mut self, now: MonoMs, part: PartId) -> bool {
        let times = self.times_of(now, part);
        let is_recent = |at: MonoMs| now.since(at) < STATEMENT_INTERVAL_MS;
        if times.stated_at.is_some_and(is_recent) {
            if self.held_back.len() < MAX_PARTS {
                self.held_back.insert(part);
            }
            return false;
        }
        times.stated_at = Some(now);
        true
    }

    /// Returns the parts of which a statement was held back and may be made now.
    pub fn take_held_back(&mut self, now: MonoMs) -> Vec<PartId> {
        let times = &self.times;
        let may_state = |part: &PartId| {
            let stated_at = times.get(part).and_then(|times| times.stated_at);
            stated_at.is_none_or(|at| now.since(at) >= STATEMENT_INTERVAL_MS)
        };
        self.held_back
            .extract_if(.., |part| may_state(part))
            .collect()
    }

    /// Returns what there is to state of all parts that are kept from engines.
    pub fn condemnations(&self, now: MonoMs) -> Vec<Condemnation> {
        self.crashes.condemnations(now)
    }

    /// Applies a peer's statement that a part crashes engines.
    pub fn apply_condemnation(&mut self, now: MonoMs, stated: &Condemnation) -> StatementEffect {
        let first_crash_at = now.0.saturating_sub(stated.age_ms + stated.span_ms);
        let sound_at = self.sound.get(PartId(stated.fingerprint));
        if sound_at.is_some_and(|at| at.0 > first_crash_at) {
            return StatementEffect::Refuted;
        }
        if self.crashes.apply_condemnation(now, stated) {
            StatementEffect::Adopted
        } else {
            StatementEffect::None
        }
    }

    /// Returns whether a part has crashed so many engines that it is sent again in trials only.
    pub fn is_suspect(&self, part: PartId) -> bool {
        self.crashes.is_suspect(part.0)
    }

    /// Returns whether a part is to be kept from engines now: it was for less than its time, or a trial is under way.
    /// `delayed` is the time by which the former is judged, `now` or earlier.
    pub fn is_kept(&self, now: MonoMs, delayed: MonoMs, part: PartId) -> bool {
        let times = self.times.get(&part);
        let is_tried = times
            .and_then(|times| times.trial_at)
            .is_some_and(|at| now.since(at) < TRIAL_MS);
        self.is_suspect(part) && is_tried || self.crashes.is_poison(delayed, part.0)
    }

    /// Records that a part which is suspected is sent to an engine again.
    pub fn record_trial(&mut self, now: MonoMs, part: PartId) {
        self.times_of(now, part).trial_at = Some(now);
    }

    fn times_of(&mut self, now: MonoMs, part: PartId) -> &mut PartTimes {
        if self.times.len() >= MAX_PARTS {
            self.evict_times(now);
        }
        if self.times.len() >= MAX_PARTS {
            self.times.clear();
        }
        self.times.entry(part).or_default()
    }

    fn evict_times(&mut self, now: MonoMs) {
        let is_recent = |at: Option<MonoMs>| at.is_some_and(|at| now.since(at) < TRIAL_MS);
        self.times
            .retain(|_, times| is_recent(times.stated_at) || is_recent(times.trial_at));
    }

    /// Removes records that have expired.
    pub fn evict_expired(&mut self, now: MonoMs) {
        self.crashes.evict_expired(now);
        self.evict_times(now);
    }
}
