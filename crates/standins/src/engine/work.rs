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

/// Number of token pairs to which `attention_ms_per_million_pairs` refers.
const MILLION: f64 = 1e6;

/// Event of a request, as its caller receives it.
#[derive(Debug)]
pub enum RequestEvent {
    /// The request was refused: it was not run and never will be.
    Refused(RefusalReason),
    /// The request has started to run; carries the fault of its answer.
    Started(AnswerFault),
    /// A chunk of the answer.
    Chunk(StreamChunk),
}

/// Waiting or running request.
#[derive(Debug)]
pub struct EngineRequest {
    /// Serial number, unique even among requests of the same attempt.
    pub serial: u64,
    pub params: GenerateRequest,
    pub expires_at: Instant,
    pub events: Sender<RequestEvent>,
    /// Prompt tokens prefilled or found in the cache.
    pub prefilled: u64,
    /// Tokens of memory that the request uses besides a reservation; 0 if it has one.
    pub own_memory_tokens: u64,
    pub next_chunk: u64,
    /// Number of chunks in the complete answer.
    pub chunks: u64,
    /// Seed from which the words of the answer are derived.
    pub seed: u64,
}

impl EngineRequest {
    pub fn queue_key(&self) -> (u8, u64) {
        (self.params.priority, self.serial)
    }

    pub fn prefill_left(&self) -> u64 {
        self.params.prompt_tokens - self.prefilled
    }

    /// Returns the time to prefill the next tokens of the prompt, split over all engines of the group.
    pub fn prefill_cost(&self, tokens: u64, options: &EngineOptions) -> Duration {
        let (tokens, before) = (tokens as f64, self.prefilled as f64);
        let pairs = tokens * (before + tokens / 2.0);
        let attention_s = pairs / MILLION * options.attention_ms_per_million_pairs / 1_000.0;
        let group = 1 + self.params.group.len();
        let cost_s = tokens / options.prefill_tokens_per_s + attention_s;
        Duration::from_secs_f64(cost_s / group as f64)
    }

    /// Appends one token to the answer and sends it to the caller.
    pub fn decode_token(&mut self) {
        let chunk = StreamChunk {
            attempt: self.params.attempt,
            sequence: self.next_chunk,
            text: word(self.seed, self.next_chunk),
            tokens: 1,
            end: self.next_chunk + 1 >= self.chunks,
        };
        self.next_chunk += 1;
        // A disconnected caller is detected at the next step.
        let _gone = self.events.try_send(RequestEvent::Chunk(chunk));
    }

    pub fn refuse(&self, reason: RefusalReason) {
        let _gone = self.events.try_send(RequestEvent::Refused(reason));
    }
}

/// Returns the text of one chunk of an answer, which is one token. It is the same on all engines, so that a
/// resumed answer continues the first one.
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
