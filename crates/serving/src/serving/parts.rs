//! Parts of prompts that crash each engine which begins to answer.

use {
    super::{Serving, crashes::MAX_TRIAL_DELAY_MS},
    crate::{
        fleet::{Condemnation, PartCrash, SoundPart},
        names::{PartId, TargetId},
        retries::{BrokenRun, StatementEffect, Suspect},
    },
    whinlatch_core::MonoMs,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Events of an answer after which it has gone on well: an engine that crashes on a part does so when it begins to write.
pub const SOUND_EVENTS: u64 = 12;

impl Serving {
    /// Records that an answer to a prompt with these parts went on well: it is complete, or has [`SOUND_EVENTS`]. Peers
    /// are told of parts that were kept from engines.
    pub fn record_sound_parts(&mut self, now: MonoMs, parts: &[PartId]) {
        for part in self.parts.record_sound(now, parts) {
            self.note_blame(Suspect::Part(part), 0);
            let sound = SoundPart { part, age_ms: 0 };
            self.news.for_all().sound_parts.push(sound);
        }
    }

    /// Counts a crash of an engine against the parts of a prompt that it had begun to answer, and queues a notice for all
    /// peers.
    pub(super) fn count_part_crash(&mut self, now: MonoMs, broken: &BrokenRun, target: &TargetId) {
        let crash = PartCrash {
            parts: broken.parts.to_vec(),
            target: target.clone(),
            ran_ms: broken.broke_at.since(broken.sent_at),
            age_ms: now.since(broken.broke_at),
        };
        if let Some(news) = self.apply_part_crash(now, crash) {
            self.news.for_all().part_crashes.push(news);
        }
    }

    /// Records a crash that was seen here or by a peer, and states the parts that are kept from engines since. Returns
    /// what of it is news.
    pub(super) fn apply_part_crash(&mut self, now: MonoMs, crash: PartCrash) -> Option<PartCrash> {
        let suspects = crash
            .parts
            .iter()
            .filter(|part| self.parts.is_suspect(**part));
        let suspects: Vec<PartId> = suspects.copied().collect();
        let parts = self.parts.record_crash(now, &crash);
        for part in &parts {
            if !suspects.contains(part)
                && let Some(stated) = self.parts.condemnation(now, *part)
            {
                self.note_blame(Suspect::Part(*part), stated.targets);
            }
            self.state_part(now, *part);
        }
        (!parts.is_empty()).then_some(PartCrash { parts, ..crash })
    }

    /// Queues a statement for all peers that a part is kept from engines, if it is. They may not have heard of all
    /// crashes, or know that answers went on well with it.
    fn state_part(&mut self, now: MonoMs, part: PartId) {
        let stated = self.parts.take_statement(now, part);
        self.news.for_all().condemned_parts.extend(stated);
    }

    /// Queues a notice for all peers that an answer went on well with a part, if this instance knows of one.
    fn refute_part(&mut self, now: MonoMs, part: PartId) {
        let refutation = self.parts.take_refutation(now, part);
        self.news.for_all().sound_parts.extend(refutation);
    }

    /// Queues the statements about parts that were held back.
    pub(super) fn state_held_back_parts(&mut self, now: MonoMs) {
        for part in self.parts.take_held_back(now) {
            if self.parts.is_suspect(part) {
                self.state_part(now, part);
            } else {
                self.refute_part(now, part);
            }
        }
    }

    /// Applies a peer's statement that a part crashes engines. Returns whether it is news. Queues a notice for all peers
    /// if an answer went on well here with that part.
    pub(super) fn apply_condemned_part(&mut self, now: MonoMs, stated: &Condemnation) -> bool {
        let part = PartId(stated.fingerprint);
        let was_suspect = self.parts.is_suspect(part);
        match self.parts.apply_condemnation(now, stated) {
            StatementEffect::None => false,
            StatementEffect::Refuted => {
                self.refute_part(now, part);
                false
            }
            StatementEffect::Adopted => {
                if !was_suspect {
                    self.note_blame(Suspect::Part(part), stated.targets);
                }
                true
            }
        }
    }

    /// Applies what a peer says of a part with which an answer went on well. Returns whether it is news.
    pub(super) fn apply_sound_part(&mut self, now: MonoMs, sound: &SoundPart) -> bool {
        let was_suspect = self.parts.is_suspect(sound.part);
        let is_news = self.parts.apply_sound(now, sound);
        if was_suspect && !self.parts.is_suspect(sound.part) {
            self.note_blame(Suspect::Part(sound.part), 0);
        }
        is_news
    }

    /// Returns the statements that begin a link, as for requests.
    pub(super) fn condemned_parts_to_greet_with(&self, now: MonoMs) -> Vec<Condemnation> {
        if self.members.is_large() && !self.is_hub() {
            return Vec::new();
        }
        self.parts.condemnations(now)
    }

    /// Returns whether a request has a part that is to be kept from engines, as requests are that have crashed several.
    pub(super) fn has_kept_part(&self, now: MonoMs, parts: &[PartId], is_repeat: bool) -> bool {
        parts.iter().any(|part| {
            let draw = xxh3_64_with_seed(&part.0.to_le_bytes(), self.own.run);
            let delayed = MonoMs(now.0.saturating_sub(draw % MAX_TRIAL_DELAY_MS));
            self.parts.is_suspect(*part) && (is_repeat || self.parts.is_kept(now, delayed, *part))
        })
    }

    /// Records that a request is sent, which is a trial for those of its parts that are suspected.
    pub(super) fn record_part_trials(&mut self, now: MonoMs, parts: &[PartId]) {
        for part in parts {
            if self.parts.is_suspect(*part) {
                self.parts.record_trial(now, *part);
            }
        }
    }
}
