use {
    super::{answer::Answer, faults::AnswerFault},
    async_channel::Sender,
    std::time::{Duration, Instant},
    whinlatch_wire::{
        ids::AttemptId,
        target::{GenerateRequest, RefusalReason, StreamChunk},
    },
};

/// Pairs of tokens that the cost of attention is stated for.
const MILLION: f64 = 1e6;

/// What a caller hears of its request.
#[derive(Debug)]
pub enum Event {
    /// It was not run and never will be.
    Refused(RefusalReason),
    /// It runs from now on.
    Begun(AnswerFault),
    /// A piece of the answer.
    Chunk(StreamChunk),
}

/// A request that waits or runs.
#[derive(Debug)]
pub struct Work {
    /// Tells requests apart, also those that name the same attempt.
    pub serial: u64,
    pub request: GenerateRequest,
    pub until: Instant,
    pub events: Sender<Event>,
    pub answer: Answer,
    /// Prompt tokens read.
    pub prefilled: u64,
    /// Memory of its own; a request with a reservation has none.
    pub holds_tokens: u64,
    pub next_chunk: u64,
    pub tokens_in_chunk: u32,
}

impl Work {
    pub fn order(&self) -> (u8, u64) {
        (self.request.priority, self.serial)
    }

    pub fn prefill_left(&self) -> u64 {
        self.request.prompt_tokens - self.prefilled
    }

    /// Time to read the next tokens of the prompt on all engines of its group.
    pub fn prefill_cost(&self, tokens: u64, options: &super::EngineOptions) -> Duration {
        let (tokens, before) = (tokens as f64, self.prefilled as f64);
        let pairs = tokens * (before + tokens / 2.0);
        let attention_s = pairs / MILLION * options.attention_ms_per_million_pairs / 1_000.0;
        let group = 1 + self.request.group.len();
        let cost_s = tokens / options.prefill_tokens_per_s + attention_s;
        Duration::from_secs_f64(cost_s / group as f64)
    }

    /// Adds one token to the answer; tells whether the answer is whole with it.
    pub fn decode_token(&mut self) -> bool {
        self.tokens_in_chunk += 1;
        if self.tokens_in_chunk < self.answer.chunk_tokens(self.next_chunk) {
            return false;
        }
        let chunk = self.chunk();
        self.next_chunk += 1;
        self.tokens_in_chunk = 0;
        let end = chunk.end;
        // A caller that is gone is noticed at the next step.
        let _gone = self.events.try_send(Event::Chunk(chunk));
        end
    }

    pub fn refuse(&self, reason: RefusalReason) {
        let _gone = self.events.try_send(Event::Refused(reason));
    }

    fn chunk(&self) -> StreamChunk {
        StreamChunk {
            attempt: self.request.attempt,
            sequence: self.next_chunk,
            text: self.answer.chunk_text(self.next_chunk),
            tokens: self.answer.chunk_tokens(self.next_chunk),
            end: self.next_chunk + 1 >= self.answer.chunks(),
        }
    }
}

/// A chunk that belongs to another attempt than this one.
pub fn crossed_chunk(attempt: AttemptId) -> StreamChunk {
    StreamChunk {
        attempt: AttemptId(!attempt.0),
        sequence: 0,
        text: "of another attempt ".to_owned(),
        tokens: 1,
        end: true,
    }
}
