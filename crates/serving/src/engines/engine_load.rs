use {
    crate::{catalog::EngineSpec, fleet::JobId, targets::FailureShare},
    whinlatch_core::MonoMs,
};

/// Time after the beginning of a pass in which events still belong to the end of the one before,
/// in ms: those of one pass arrive within a few ms.
const SAME_PASS_MS: f64 = 15.0;

/// Passes of which the fastest tells how slow an engine is: those that only took in a part that
/// isn't known here yet are longer, and never all of them in a row.
const PACE_PASSES: usize = 4;
/// How far a pass must be from what was predicted to change an engine's pace.
const PACE_CHANGE: f64 = 1.25;
/// Bounds of an engine's pace; beyond them, the prediction is wrong and not the engine slow.
const PACE_BOUNDS: (f64, f64) = (1.0, 12.0);

/// A prompt, or a part of one, that an engine has yet to read.
#[derive(Debug, Clone, Copy)]
pub struct Part {
    /// The prompt.
    pub job: JobId,
    /// Time that it still takes, in ms.
    pub left_ms: f64,
    /// Time that each of its tokens takes, in ms.
    pub token_ms: f64,
    /// Whether this engine only helps to read it.
    pub is_helper: bool,
    /// Whether it is read ahead of those for which this isn't so, the newest first: parts that
    /// engines only help with, and those for which the engine that answers has set memory aside.
    pub goes_first: bool,
    /// When the prompt's first event is late.
    pub late_at: MonoMs,
    /// When the prompt's first event is expected: other engines may still read parts of it when this
    /// one is through.
    pub begins_at: MonoMs,
    /// Longest pause with which the prompt's stream is on time, in ms.
    pub pause_limit_ms: f64,
    /// What is lost when the stream is late.
    pub value: f64,
    /// Whether it is read in the pass that is running.
    pub in_pass: bool,
}

impl Part {
    /// Reads it for as long as it takes, or as there is time.
    fn read(&mut self, spent_ms: &mut f64) {
        let read_ms = spent_ms.min(self.left_ms);
        self.left_ms -= read_ms;
        *spent_ms -= read_ms;
    }
}

/// A stream that an engine writes.
#[derive(Debug, Clone, Copy)]
pub struct Writer {
    /// The prompt.
    pub job: JobId,
    /// Longest pause with which it is on time, in ms.
    pub pause_limit_ms: f64,
    /// What is lost when a pause is too long.
    pub value: f64,
    /// Whether that has come about.
    pub is_late: bool,
}

/// What one engine is expected to be doing.
///
/// An engine that writes works in passes: all prompts that wait when a pass begins are read in it,
/// all streams get their next event at its end, and so does what was read. An engine that writes
/// nothing reads one prompt after the other.
#[derive(Debug, Clone, Default)]
pub struct EngineLoad {
    /// Prompts that are to be read, in order of their coming.
    pub parts: Vec<Part>,
    /// Streams that it writes.
    pub writers: Vec<Writer>,
    /// Tokens of memory that its prompts take.
    pub memory_tokens: u64,
    /// How many times slower than published it is, from what was seen.
    pub pace: f64,
    /// Prompts that it helps to read, or has helped with and that aren't over.
    pub helping: usize,
    /// How many of the prompts that it was to answer it failed.
    pub failures: FailureShare,
    ratios: Vec<f64>,
    at_ms: f64,
    pass_began_ms: f64,
    event_ms: f64,
    pass_ends_ms: Option<f64>,
}

impl EngineLoad {
    /// An engine that is idle.
    pub fn new(now: MonoMs) -> Self {
        Self {
            pace: 1.0,
            at_ms: now.0 as f64,
            ..Self::default()
        }
    }

    /// Lets time go on.
    pub fn advance(&mut self, now: MonoMs, spec: &EngineSpec) {
        let now_ms = now.0 as f64;
        loop {
            if let Some(ends_ms) = self.pass_ends_ms {
                if ends_ms > now_ms {
                    break;
                }
                self.end_pass(ends_ms);
            }
            if self.writers.is_empty() {
                self.read_on(now_ms);
                break;
            }
            self.begin_pass(spec);
        }
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// An event of one of its streams came: a pass has just ended. Returns whether the engine's
    /// pace changed by that.
    pub fn event_seen(&mut self, now: MonoMs, spec: &EngineSpec) -> bool {
        let now_ms = now.0 as f64;
        if self.pass_ends_ms.is_some() && now_ms - self.pass_began_ms < SAME_PASS_MS {
            return false;
        }
        let mut is_changed = false;
        if let Some(ends_ms) = self.pass_ends_ms {
            is_changed = self.note_pass(now_ms - self.event_ms, ends_ms - self.pass_began_ms);
            self.end_pass(now_ms);
        }
        self.at_ms = now_ms;
        self.event_ms = now_ms;
        if !self.writers.is_empty() {
            self.begin_pass(spec);
        }
        is_changed
    }

    /// Sets the pace. Returns whether that changes it much.
    pub fn set_pace(&mut self, pace: f64) -> bool {
        let pace = pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        let ratio = pace / self.pace;
        if (1.0 / PACE_CHANGE..PACE_CHANGE).contains(&ratio) {
            return false;
        }
        for part in &mut self.parts {
            part.left_ms *= ratio;
            part.token_ms *= ratio;
        }
        self.pace = pace;
        true
    }

    /// Compares the time between two events with the pass that was predicted.
    fn note_pass(&mut self, seen_ms: f64, predicted_ms: f64) -> bool {
        self.ratios.push(seen_ms / predicted_ms.max(1.0));
        if self.ratios.len() < PACE_PASSES {
            return false;
        }
        let fastest = self.ratios.drain(..).fold(f64::INFINITY, f64::min);
        self.set_pace(self.pace * fastest)
    }

    fn end_pass(&mut self, at_ms: f64) {
        let length_ms = at_ms - self.pass_began_ms;
        for writer in &mut self.writers {
            writer.is_late |= length_ms > writer.pause_limit_ms;
        }
        // The prompt that the engine answers stays until its first event is told of: it has a slot.
        self.parts.retain(|part| !part.in_pass || !part.is_helper);
        for part in &mut self.parts {
            part.in_pass = false;
        }
        self.pass_ends_ms = None;
        self.at_ms = at_ms;
    }

    fn begin_pass(&mut self, spec: &EngineSpec) {
        let mut room_tokens = spec.pass_read_tokens() as f64;
        let mut length_ms = self.base_ms(spec);
        for goes_first in [true, false] {
            for part in &mut self.parts {
                if part.goes_first == goes_first && part.left_ms > 0.0 && room_tokens > 0.0 {
                    let read_ms = part.left_ms.min(room_tokens * part.token_ms);
                    room_tokens -= read_ms / part.token_ms;
                    length_ms += read_ms;
                    part.left_ms -= read_ms;
                    part.in_pass = part.left_ms <= 0.0;
                }
            }
        }
        self.pass_began_ms = self.at_ms;
        self.pass_ends_ms = Some(self.at_ms + length_ms);
    }

    fn read_on(&mut self, now_ms: f64) {
        let mut spent_ms = (now_ms - self.at_ms).max(0.0);
        let first = self.parts.iter_mut().rev().filter(|part| part.goes_first);
        for part in first {
            part.read(&mut spent_ms);
        }
        let others = self.parts.iter_mut().filter(|part| !part.goes_first);
        for part in others {
            part.read(&mut spent_ms);
        }
        self.parts
            .retain(|part| part.left_ms > 0.0 || !part.is_helper);
    }

    /// Time of a pass in which nothing is read, in ms.
    pub fn base_ms(&self, spec: &EngineSpec) -> f64 {
        spec.pass_ms(self.writers.len(), 0) * self.pace
    }

    /// Tokens that wait to be read, and the time that this takes in ms.
    pub fn waiting_tokens(&self) -> (f64, f64) {
        self.waiting().fold((0.0, 0.0), |(tokens, ms), part| {
            (tokens + part.left_ms / part.token_ms, ms + part.left_ms)
        })
    }

    /// Time until the pass that is running ends, in ms.
    pub fn pass_left_ms(&self, now: MonoMs) -> f64 {
        self.pass_ends_ms
            .map_or(0.0, |ends_ms| (ends_ms - now.0 as f64).max(0.0))
    }

    /// Reading that is ahead of a part that comes now, in ms. The newest of those that go first is
    /// read before all others.
    pub fn queue_ms(&self, goes_first: bool) -> f64 {
        if goes_first {
            return 0.0;
        }
        self.total_ms()
    }

    /// Reading that is still ahead of the end of one of its parts, in ms.
    pub fn ends_in_ms(&self, place: usize) -> f64 {
        let part = &self.parts[place];
        let is_ahead = |other: usize| {
            let goes_first = self.parts[other].goes_first;
            match (part.goes_first, goes_first) {
                (true, true) => other >= place,
                (true, false) => false,
                (false, true) => true,
                (false, false) => other <= place,
            }
        };
        (0..self.parts.len())
            .filter(|other| is_ahead(*other))
            .map(|other| self.parts[other].left_ms)
            .sum()
    }

    /// All reading that no pass has begun, in ms.
    pub fn total_ms(&self) -> f64 {
        self.parts.iter().map(|part| part.left_ms).sum()
    }

    /// Parts that no pass has begun.
    pub fn waiting(&self) -> impl Iterator<Item = &Part> {
        self.parts.iter().filter(|part| part.left_ms > 0.0)
    }

    /// Notes that a prompt's first event came; its engine writes from now on.
    pub fn begins(&mut self, writer: Writer) {
        self.parts.retain(|part| part.job != writer.job);
        self.writers.push(writer);
    }

    /// Reading of a prompt that is still to be done here, in ms of an engine that is as fast as
    /// published.
    pub fn unread_ms(&self, job: JobId) -> f64 {
        let parts = self.parts.iter().filter(|part| part.job == job);
        parts.map(|part| part.left_ms / self.pace).sum()
    }

    /// Drops all that it does for a prompt.
    pub fn drop_job(&mut self, job: JobId) {
        self.parts.retain(|part| part.job != job);
        self.writers.retain(|writer| writer.job != job);
    }

    /// Prompts that it reads or writes as the engine that answers.
    pub fn running(&self) -> usize {
        let reading = self.parts.iter().filter(|part| !part.is_helper).count();
        reading + self.writers.len()
    }
}
