use {
    super::PrefillSample,
    crate::{routing::Weight, time::MonoMs},
    whinlatch_wire::{
        ids::{AttemptId, Incarnation},
        peer::TargetLoad,
        target::LoadReport,
    },
};

/// Maximum age of a load report on arrival, in ms; reports carry no time of measurement. Prompts
/// sent within this time before a report arrived may be missing from it, so they are added to it.
const MAX_REPORT_LAG_MS: u64 = 500;
/// Fraction of a prompt's predicted prefill time that still counts as remaining once its first token
/// is overdue.
const MIN_REMAINING_FRACTION: f64 = 0.1;
/// Longest prompt that may be sent after another, as a fraction of the other's prefill time, without
/// distorting the other as a sample of the target's prefill rate.
const MAX_OVERLAP_FRACTION: f64 = 0.1;

/// A prompt sent to a target that hasn't returned its first token yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SentPrompt {
    /// Attempt that sent the prompt.
    pub attempt: AttemptId,
    /// Time at which it was sent.
    pub sent_at: MonoMs,
    /// Predicted time in the target's queue, in ms from `sent_at`.
    pub wait_ms: f64,
    /// Length of the prompt, in tokens.
    pub tokens: u64,
    /// Number of engines that prefill it together.
    pub engines: usize,
    /// Predicted prefill time once its turn has come, in ms.
    pub read_ms: f64,
    /// Whether the target only helps another engine to prefill it.
    pub is_helper: bool,
    /// Memory it takes at this target, in tokens.
    pub memory_tokens: u64,
    /// Weight class by prefill time, which decides how long it delays others.
    pub weight: Weight,
    /// Whether its time to first token is a sample of the target's prefill rate: nothing ran before it
    /// and no prefix of it was cached.
    pub is_sample: bool,
}

/// Retention of a peer's latest load update, in ms. It exceeds the time for which any copy is
/// passed on, so that an old copy that arrives again is recognized as old.
const PEER_LOAD_TTL_MS: u64 = 120_000;

/// Time after which a peer's queued prompts no longer count unless the peer reports them again, in
/// ms.
const PEER_QUEUE_TTL_MS: u64 = 5_000;

/// A long prompt of this daemon that is queued for a target and not sent yet; it is announced to peers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedPrompt {
    /// Id of the queued prompt, the same at all engines where it is queued.
    pub id: AttemptId,
    /// Time by which it is ranked among queued prompts, earliest first: about when its request was accepted.
    pub since: MonoMs,
    /// Predicted prefill time, in ms.
    pub read_ms: f64,
}

/// Work that remains at a target, by weight class.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RemainingWork {
    /// Prefill time of light prompts, in ms.
    pub light_ms: f64,
    /// Prefill time of medium prompts, in ms.
    pub medium_ms: f64,
    /// Prefill time of long prompts, in ms.
    pub long_ms: f64,
    /// Time for which it helps other engines to prefill long prompts, in ms.
    pub helping_ms: f64,
}

/// Medium and long prompts that another daemon has at the target.
#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    origin: Incarnation,
    number: u64,
    received_at: MonoMs,
    medium_ends_at: MonoMs,
    long_ends_at: MonoMs,
    helping_ends_at: MonoMs,
    queued_ms: u64,
    oldest_queued_since: MonoMs,
}

/// Load of a target as seen by this daemon: the target's lagging reports, corrected by the prompts
/// sent from here since, and the medium and long prompts that peers announce as they send them.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    sent: Vec<SentPrompt>,
    queued: Vec<QueuedPrompt>,
    peers: Vec<PeerLoad>,
    reported_at: MonoMs,
    reported_ms: f64,
    light_sent_since_report_ms: f64,
    sent_since_report_tokens: u64,
    free_tokens: u64,
    running: u32,
}

impl LoadTracker {
    /// Adds a prompt that was just sent.
    pub fn record_sent(&mut self, prompt: SentPrompt) {
        for other in &mut self.sent {
            other.is_sample &= prompt.read_ms <= other.read_ms * MAX_OVERLAP_FRACTION;
        }
        if prompt.weight == Weight::Light {
            self.light_sent_since_report_ms += prompt.read_ms;
        }
        self.sent_since_report_tokens += prompt.memory_tokens;
        self.sent.push(prompt);
    }

    /// Returns the prefill sample of a prompt whose first token arrived; `None` if the attempt is
    /// unknown or other work distorted its time.
    pub fn sample(&self, now: MonoMs, attempt: AttemptId) -> Option<PrefillSample> {
        let prompt = self.sent.iter().find(|prompt| prompt.attempt == attempt)?;
        prompt.is_sample.then_some(PrefillSample {
            tokens: prompt.tokens,
            engines: prompt.engines,
            took_ms: now.since(prompt.sent_at) as f64,
        })
    }

    /// Removes a prompt at its first token, failure or cancellation.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<SentPrompt> {
        let index = self
            .sent
            .iter()
            .position(|prompt| prompt.attempt == attempt)?;
        Some(self.sent.swap_remove(index))
    }

    /// Applies a load report. `token_ms` is the target's prefill time per token, in ms.
    pub fn apply_report(&mut self, now: MonoMs, report: &LoadReport, token_ms: f64) {
        self.reported_at = now;
        self.reported_ms = report.prefill_tokens_left as f64 * token_ms;
        self.running = report.running;
        self.free_tokens = report
            .memory_total_tokens
            .saturating_sub(report.memory_used_tokens);
        let may_be_missing = |prompt: &&SentPrompt| now.since(prompt.sent_at) <= MAX_REPORT_LAG_MS;
        let sent = self.sent.iter().filter(may_be_missing);
        self.sent_since_report_tokens = sent.clone().map(|prompt| prompt.memory_tokens).sum();
        let light = sent.filter(|prompt| prompt.weight == Weight::Light);
        self.light_sent_since_report_ms = light.map(|prompt| prompt.read_ms).sum();
    }

    /// Applies a peer's load update. Returns whether it is newer than the last one from that peer.
    pub fn apply_peer_load(&mut self, now: MonoMs, load: &TargetLoad) -> bool {
        let update = PeerLoad {
            origin: load.origin,
            number: load.number,
            received_at: now,
            medium_ends_at: now + load.prefill_left_ms.saturating_sub(load.long_left_ms),
            long_ends_at: now + load.long_left_ms,
            helping_ends_at: now + load.helping_ms,
            queued_ms: load.claimed_ms,
            oldest_queued_since: MonoMs(now.0.saturating_sub(load.claim_age_ms)),
        };
        self.peers.retain(|peer| {
            now.since(peer.received_at) <= PEER_LOAD_TTL_MS || peer.long_ends_at > now
        });
        let previous = self
            .peers
            .iter_mut()
            .find(|peer| peer.origin == load.origin);
        match previous {
            Some(previous) if previous.number >= update.number => return false,
            Some(previous) => *previous = update,
            None => self.peers.push(update),
        }
        true
    }

    /// Returns the number of requests that the target was running according to its last report.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Adds a long prompt that waits for its turn here; replaces one with the same id.
    pub fn enqueue(&mut self, prompt: QueuedPrompt) {
        self.dequeue(prompt.id);
        self.queued.push(prompt);
    }

    /// Removes a queued prompt. Returns whether there was one.
    pub fn dequeue(&mut self, id: AttemptId) -> bool {
        let before = self.queued.len();
        self.queued.retain(|queued| queued.id != id);
        self.queued.len() < before
    }

    /// Returns the total prefill time of this daemon's queued prompts, in ms, and the time since
    /// which the oldest waits.
    pub fn own_queued(&self) -> (f64, Option<MonoMs>) {
        let total_ms = self.queued.iter().map(|queued| queued.read_ms).sum();
        (
            total_ms,
            self.queued.iter().map(|queued| queued.since).min(),
        )
    }

    /// Returns whether this daemon has a long prompt here, sent or queued.
    pub fn has_long(&self) -> bool {
        !self.queued.is_empty() || self.sent.iter().any(|prompt| prompt.weight == Weight::Long)
    }

    /// Returns the prefill time, in ms, of queued long prompts that go before a request that waits
    /// since `since`: those that wait longer. A prompt that takes many engines thus isn't overtaken
    /// by prompts that take few.
    pub fn queued_ahead_ms(&self, now: MonoMs, since: MonoMs, id: AttemptId) -> f64 {
        let own = self
            .queued
            .iter()
            .filter(|queued| (queued.since, queued.id) < (since, id))
            .map(|queued| queued.read_ms);
        let peers = self
            .peers
            .iter()
            .filter(|peer| {
                peer.oldest_queued_since < since && now.since(peer.received_at) <= PEER_QUEUE_TTL_MS
            })
            .map(|peer| peer.queued_ms as f64);
        own.sum::<f64>() + peers.sum::<f64>()
    }

    /// Returns the prefill time of all queued long prompts, this daemon's and its peers', in ms.
    pub fn queued_ms(&self, now: MonoMs) -> f64 {
        let peers = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.received_at) <= PEER_QUEUE_TTL_MS);
        self.own_queued().0 + peers.map(|peer| peer.queued_ms as f64).sum::<f64>()
    }

    /// Returns the free memory, in tokens, less what prompts sent since the last report take.
    pub fn free_tokens(&self) -> u64 {
        self.free_tokens
            .saturating_sub(self.sent_since_report_tokens)
    }

    /// Returns the remaining prefill time of this daemon's prompts of one weight class, in ms;
    /// helping not counted.
    pub fn own_remaining_ms(&self, now: MonoMs, weight: Weight) -> f64 {
        self.sent
            .iter()
            .filter(|prompt| prompt.weight == weight && !prompt.is_helper)
            .map(|prompt| prompt.remaining_ms(now))
            .sum()
    }

    /// Returns for how long this daemon's prompts keep the target helping others, in ms.
    pub fn own_helping_ms(&self, now: MonoMs) -> f64 {
        let helping = self.sent.iter().filter(|prompt| prompt.is_helper);
        helping
            .map(|prompt| prompt.remaining_ms(now))
            .fold(0.0, f64::max)
    }

    /// Returns the remaining work of all daemons.
    pub fn remaining(&self, now: MonoMs) -> RemainingWork {
        let peers = self.peers.iter();
        let (medium, long) = peers.fold((0, 0), |(medium, long), peer| {
            let medium = medium + peer.medium_ends_at.since(now);
            (medium, long + peer.long_ends_at.since(now))
        });
        let medium_ms = self.own_remaining_ms(now, Weight::Medium) + medium as f64;
        let long_ms = self.own_remaining_ms(now, Weight::Long) + long as f64;
        let helping = self
            .peers
            .iter()
            .map(|peer| peer.helping_ends_at.since(now));
        let helping_ms = self
            .own_helping_ms(now)
            .max(helping.max().unwrap_or(0) as f64);
        let since_report_ms = now.since(self.reported_at) as f64;
        let reported_ms = (self.reported_ms - since_report_ms).max(0.0);
        // A report gives one sum for all weight classes. With medium or long work present the light
        // part can't be distinguished, so only what this daemon sent counts as light.
        let only_light = medium_ms + long_ms == 0.0;
        RemainingWork {
            light_ms: self.light_sent_since_report_ms + if only_light { reported_ms } else { 0.0 },
            medium_ms,
            long_ms,
            helping_ms,
        }
    }
}

impl SentPrompt {
    fn remaining_ms(&self, now: MonoMs) -> f64 {
        let reading_ms = (now.since(self.sent_at) as f64 - self.wait_ms).max(0.0);
        (self.read_ms - reading_ms).max(self.read_ms * MIN_REMAINING_FRACTION)
    }
}
