use {
    crate::{catalog::EngineSpec, fleet::JobId, targets::FailureShare},
    whinlatch_core::MonoMs,
};

/// Time after the start of a pass in which events still belong to the end of the previous pass, in ms:
/// the events of one pass arrive within a few ms of each other.
const SAME_PASS_MS: f64 = 15.0;

/// Number of passes whose fastest sets an engine's pace. A pass that reads a part which isn't known here
/// yet is longer than predicted, but never all of them in a row are.
const PACE_PASSES: usize = 4;
/// Minimum ratio between the new and the old pace, in either direction, at which the pace changes.
const MIN_PACE_RATIO: f64 = 1.25;
/// Lower and upper bound of an engine's pace; beyond them the prediction is wrong rather than the engine
/// slow.
const PACE_BOUNDS: (f64, f64) = (1.0, 12.0);

/// Time for which work counts that an engine reports and that this instance doesn't know, in ms. It is that of callers
/// and instances that are gone; engines notice that within some seconds, or their short streams end.
const UNKNOWN_WORK_TTL_MS: u64 = 1_500;

/// State of an engine as it reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occupancy {
    /// Prompts that it reads or answers, or that wait for a slot.
    pub prompts: usize,
    /// Memory in use, in tokens.
    pub memory_tokens: u64,
}

/// Work on an engine of which no instance knows, such as the streams of instances that were killed.
#[derive(Debug, Clone, Copy, Default)]
struct UnknownWork {
    prompts: usize,
    memory_tokens: u64,
    until: MonoMs,
}

/// A prompt, or a part of one, that an engine has yet to read.
#[derive(Debug, Clone, Copy)]
pub struct UnreadPart {
    /// The prompt that it belongs to.
    pub job: JobId,
    /// Remaining reading time at the engine's pace, in ms. Excludes what the running pass reads.
    pub left_ms: f64,
    /// Reading time per token at the engine's pace, in ms.
    pub token_ms: f64,
    /// Whether this engine is a helper, not the engine that answers the prompt.
    pub is_helper: bool,
    /// Whether it is read ahead of all parts without this flag, the newest first. Set for the parts of
    /// helpers and for those for which the engine that answers has reserved memory.
    pub is_prioritized: bool,
    /// Time from which the prompt's first event is late.
    pub late_at: MonoMs,
    /// Expected time of the prompt's first event. Other engines may still read their parts when this
    /// engine has finished its own.
    pub first_event_at: MonoMs,
    /// Longest pause with which the prompt's stream is on time, in ms.
    pub pause_limit_ms: f64,
    /// Value that is lost if the stream is late.
    pub value: f64,
    /// Whether the running pass reads the rest of it.
    pub in_pass: bool,
}

impl UnreadPart {
    /// Reads the part for up to `available_ms`, and subtracts the time taken from it.
    fn read(&mut self, available_ms: &mut f64) {
        let read_ms = available_ms.min(self.left_ms);
        self.left_ms -= read_ms;
        *available_ms -= read_ms;
    }
}

/// A stream that an engine writes.
#[derive(Debug, Clone, Copy)]
pub struct WritingStream {
    /// The prompt that it answers.
    pub job: JobId,
    /// Longest pause with which the stream is on time, in ms.
    pub pause_limit_ms: f64,
    /// Value that is lost if a pause is too long.
    pub value: f64,
    /// Whether the stream is late already, so that further pauses cost nothing.
    pub is_late: bool,
}

/// Predicted state of one engine.
///
/// An engine that writes streams works in passes: a pass reads the prompts that wait when it starts, up to
/// its capacity in tokens, and at its end all streams get their next event and the prompts that were read
/// their first. An engine that writes no stream reads one prompt after the other.
#[derive(Debug, Clone, Default)]
pub struct EngineLoad {
    /// Parts to be read, in order of arrival. The part of a prompt that the engine answers stays, read or
    /// not, until the first event is reported.
    pub parts: Vec<UnreadPart>,
    /// Streams that the engine writes.
    pub streams: Vec<WritingStream>,
    /// Memory that its prompts and reservations take, in tokens.
    pub memory_tokens: u64,
    /// Observed or reported slowdown against the published speed; 1 is the published speed.
    pub pace: f64,
    /// Number of unfinished prompts of which it reads, or has read, a part as a helper.
    pub helping: usize,
    /// Share of the prompts that it was to answer but failed.
    pub failures: FailureShare,
    /// When its report was last read for a choice; `None` if it never was.
    pub asked_at: Option<MonoMs>,
    unknown: UnknownWork,
    /// Actual against predicted length of the passes since the pace was last evaluated.
    pass_ratios: Vec<f64>,
    /// Time up to which the state was advanced, in ms.
    advanced_to_ms: f64,
    pass_start_ms: f64,
    /// Time of the last event that ended a pass, in ms.
    last_event_ms: f64,
    /// Predicted end of the running pass, in ms; `None` if no pass is running.
    pass_end_ms: Option<f64>,
}

impl EngineLoad {
    /// Returns an idle engine at the published speed.
    pub fn new(now: MonoMs) -> Self {
        Self {
            pace: 1.0,
            advanced_to_ms: now.0 as f64,
            ..Self::default()
        }
    }

    /// Applies a report of the engine: what exceeds the known prompts counts as unknown work for a while.
    pub fn apply_occupancy(&mut self, now: MonoMs, occupancy: Occupancy) {
        self.unknown = UnknownWork::default();
        self.unknown = UnknownWork {
            prompts: occupancy.prompts.saturating_sub(self.running()),
            memory_tokens: occupancy.memory_tokens.saturating_sub(self.memory_tokens),
            until: now + UNKNOWN_WORK_TTL_MS,
        };
    }

    /// Advances the prediction to `now`.
    pub fn advance(&mut self, now: MonoMs, spec: &EngineSpec) {
        let now_ms = now.0 as f64;
        if now >= self.unknown.until {
            self.unknown = UnknownWork::default();
        }
        loop {
            if let Some(end_ms) = self.pass_end_ms {
                if end_ms > now_ms {
                    break;
                }
                self.end_pass(end_ms);
            }
            if self.streams.is_empty() {
                self.read_in_sequence(now_ms);
                break;
            }
            self.begin_pass(spec);
        }
        self.advanced_to_ms = self.advanced_to_ms.max(now_ms);
    }

    /// Records an event of one of the engine's streams, which shows that a pass has just ended. Returns
    /// whether this changed the engine's pace.
    pub fn record_event(&mut self, now: MonoMs, spec: &EngineSpec) -> bool {
        let now_ms = now.0 as f64;
        if self.pass_end_ms.is_some() && now_ms - self.pass_start_ms < SAME_PASS_MS {
            return false;
        }
        let mut is_changed = false;
        if let Some(end_ms) = self.pass_end_ms {
            is_changed = self.record_pass(now_ms - self.last_event_ms, end_ms - self.pass_start_ms);
            self.end_pass(now_ms);
        }
        self.advanced_to_ms = now_ms;
        self.last_event_ms = now_ms;
        if !self.streams.is_empty() {
            self.begin_pass(spec);
        }
        is_changed
    }

    /// Sets the pace, within `PACE_BOUNDS`, and rescales unread parts. Returns false and keeps the old
    /// pace if the two differ by less than `MIN_PACE_RATIO`.
    pub fn set_pace(&mut self, pace: f64) -> bool {
        let pace = pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        let ratio = pace / self.pace;
        if (1.0 / MIN_PACE_RATIO..MIN_PACE_RATIO).contains(&ratio) {
            return false;
        }
        for part in &mut self.parts {
            part.left_ms *= ratio;
            part.token_ms *= ratio;
        }
        self.pace = pace;
        true
    }

    /// Records how the time between two events compares with the predicted length of the pass. Every
    /// `PACE_PASSES` passes the fastest one sets the pace. Returns whether the pace changed.
    fn record_pass(&mut self, observed_ms: f64, predicted_ms: f64) -> bool {
        self.pass_ratios.push(observed_ms / predicted_ms.max(1.0));
        if self.pass_ratios.len() < PACE_PASSES {
            return false;
        }
        let fastest = self.pass_ratios.drain(..).fold(f64::INFINITY, f64::min);
        self.set_pace(self.pace * fastest)
    }

    fn end_pass(&mut self, at_ms: f64) {
        let length_ms = at_ms - self.pass_start_ms;
        for stream in &mut self.streams {
            stream.is_late |= length_ms > stream.pause_limit_ms;
        }
        // A prompt that the engine answers occupies a slot until its first event is reported.
        self.parts.retain(|part| !part.in_pass || !part.is_helper);
        for part in &mut self.parts {
            part.in_pass = false;
        }
        self.pass_end_ms = None;
        self.advanced_to_ms = at_ms;
    }

    fn begin_pass(&mut self, spec: &EngineSpec) {
        let mut capacity_tokens = spec.pass_read_tokens() as f64;
        let mut length_ms = self.base_ms(spec);
        for is_prioritized in [true, false] {
            for part in &mut self.parts {
                if part.is_prioritized == is_prioritized
                    && part.left_ms > 0.0
                    && capacity_tokens > 0.0
                {
                    let read_ms = part.left_ms.min(capacity_tokens * part.token_ms);
                    capacity_tokens -= read_ms / part.token_ms;
                    length_ms += read_ms;
                    part.left_ms -= read_ms;
                    part.in_pass = part.left_ms <= 0.0;
                }
            }
        }
        self.pass_start_ms = self.advanced_to_ms;
        self.pass_end_ms = Some(self.advanced_to_ms + length_ms);
    }

    fn read_in_sequence(&mut self, now_ms: f64) {
        let mut available_ms = (now_ms - self.advanced_to_ms).max(0.0);
        let prioritized = self
            .parts
            .iter_mut()
            .rev()
            .filter(|part| part.is_prioritized);
        for part in prioritized {
            part.read(&mut available_ms);
        }
        let others = self.parts.iter_mut().filter(|part| !part.is_prioritized);
        for part in others {
            part.read(&mut available_ms);
        }
        self.parts
            .retain(|part| part.left_ms > 0.0 || !part.is_helper);
    }

    /// Returns the length of a pass in which nothing is read, in ms.
    pub fn base_ms(&self, spec: &EngineSpec) -> f64 {
        spec.pass_ms(self.streams.len() + self.unknown.prompts, 0) * self.pace
    }

    /// Returns the number of waiting tokens and the time to read them, in ms.
    pub fn waiting_tokens(&self) -> (f64, f64) {
        self.waiting().fold((0.0, 0.0), |(tokens, ms), part| {
            (tokens + part.left_ms / part.token_ms, ms + part.left_ms)
        })
    }

    /// Returns the time until the running pass ends, in ms; 0 if no pass is running.
    pub fn pass_left_ms(&self, now: MonoMs) -> f64 {
        self.pass_end_ms
            .map_or(0.0, |end_ms| (end_ms - now.0 as f64).max(0.0))
    }

    /// Returns the reading time ahead of a part that arrives now, in ms. The newest prioritized part is read
    /// before all others.
    pub fn queue_ms(&self, is_prioritized: bool) -> f64 {
        if is_prioritized {
            return 0.0;
        }
        self.total_ms()
    }

    /// Returns the time to read the part at `index` and all parts ahead of it, in ms.
    pub fn ends_in_ms(&self, index: usize) -> f64 {
        let part = &self.parts[index];
        let is_ahead = |other: usize| {
            let is_other_prioritized = self.parts[other].is_prioritized;
            match (part.is_prioritized, is_other_prioritized) {
                (true, true) => other >= index,
                (true, false) => false,
                (false, true) => true,
                (false, false) => other <= index,
            }
        };
        (0..self.parts.len())
            .filter(|other| is_ahead(*other))
            .map(|other| self.parts[other].left_ms)
            .sum()
    }

    /// Returns the time to read everything that no pass has started, in ms.
    pub fn total_ms(&self) -> f64 {
        self.parts.iter().map(|part| part.left_ms).sum()
    }

    /// Returns the parts of which something is left that no pass has started to read.
    pub fn waiting(&self) -> impl Iterator<Item = &UnreadPart> {
        self.parts.iter().filter(|part| part.left_ms > 0.0)
    }

    /// Starts writing the stream of a prompt whose first event came; all of the prompt has been read.
    pub fn start_stream(&mut self, stream: WritingStream) {
        self.parts.retain(|part| part.job != stream.job);
        self.streams.push(stream);
    }

    /// Returns the time to read what is left of a prompt here, in ms at the published speed.
    pub fn unread_ms(&self, job: JobId) -> f64 {
        let parts = self.parts.iter().filter(|part| part.job == job);
        parts.map(|part| part.left_ms / self.pace).sum()
    }

    /// Removes the parts and the stream of a prompt.
    pub fn remove_job(&mut self, job: JobId) {
        self.parts.retain(|part| part.job != job);
        self.streams.retain(|stream| stream.job != job);
    }

    /// Returns the number of slots in use: one for each prompt that the engine answers, whether it still
    /// reads the prompt or writes the answer, and one for each unknown one.
    pub fn running(&self) -> usize {
        let reading = self.parts.iter().filter(|part| !part.is_helper).count();
        reading + self.streams.len() + self.unknown.prompts
    }

    /// Returns the memory in use by known and unknown prompts, in tokens.
    pub fn used_tokens(&self) -> u64 {
        self.memory_tokens + self.unknown.memory_tokens
    }
}
