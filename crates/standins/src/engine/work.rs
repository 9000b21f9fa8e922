use {
    super::EngineOptions,
    crate::target::AnswerFault,
    async_channel::Sender,
    std::time::{Duration, Instant},
    whinlatch_wire::{
        ids::ModelName,
        target::{GenerateRequest, RefusalReason, StreamChunk},
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
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
    /// Prompt tokens read.
    pub prefilled: u64,
    /// Memory of its own; a request with a reservation has none.
    pub holds_tokens: u64,
    pub next_chunk: u64,
    /// Chunks of the whole answer.
    pub chunks: u64,
    /// What the answer follows from.
    pub seed: u64,
}

impl Work {
    pub fn order(&self) -> (u8, u64) {
        (self.request.priority, self.serial)
    }

    pub fn prefill_left(&self) -> u64 {
        self.request.prompt_tokens - self.prefilled
    }

    /// Time to read the next tokens of the prompt on all engines of its group.
    pub fn prefill_cost(&self, tokens: u64, options: &EngineOptions) -> Duration {
        let (tokens, before) = (tokens as f64, self.prefilled as f64);
        let pairs = tokens * (before + tokens / 2.0);
        let attention_s = pairs / MILLION * options.attention_ms_per_million_pairs / 1_000.0;
        let group = 1 + self.request.group.len();
        let cost_s = tokens / options.prefill_tokens_per_s + attention_s;
        Duration::from_secs_f64(cost_s / group as f64)
    }

    /// Adds one token to the answer.
    pub fn decode_token(&mut self) {
        let chunk = StreamChunk {
            attempt: self.request.attempt,
            sequence: self.next_chunk,
            text: word(self.seed, self.next_chunk),
            tokens: 1,
            end: self.next_chunk + 1 >= self.chunks,
        };
        self.next_chunk += 1;
        // A caller that is gone is noticed at the next step.
        let _gone = self.events.try_send(Event::Chunk(chunk));
    }

    pub fn refuse(&self, reason: RefusalReason) {
        let _gone = self.events.try_send(Event::Refused(reason));
    }
}

/// The text of one chunk of an answer: one token. All engines give the same, so that a resumed
/// answer joins.
pub fn answer_word(model: &ModelName, prompt: &str, sequence: u64) -> String {
    word(answer_seed(model, prompt), sequence)
}

pub fn answer_seed(model: &ModelName, prompt: &str) -> u64 {
    let model = xxh3_64_with_seed(model.as_str().as_bytes(), 0);
    xxh3_64_with_seed(prompt.as_bytes(), model)
}

fn word(seed: u64, sequence: u64) -> String {
    let word = xxh3_64_with_seed(&sequence.to_le_bytes(), seed);
    format!("{:06x} ", word & 0xff_ffff)
}
