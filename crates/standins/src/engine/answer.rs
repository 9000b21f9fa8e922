use {whinlatch_wire::ids::ModelName, xxhash_rust::xxh3::xxh3_64_with_seed};

/// The text and size of each piece of an answer. Another engine gives the same pieces, so that a
/// resumed answer joins.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    seed: u64,
    tokens: u32,
    tokens_per_chunk: u32,
}

impl Answer {
    pub fn new(model: &ModelName, prompt: &str, tokens: u32, tokens_per_chunk: u32) -> Self {
        let model = xxh3_64_with_seed(model.as_str().as_bytes(), 0);
        Self {
            seed: xxh3_64_with_seed(prompt.as_bytes(), model),
            tokens,
            tokens_per_chunk,
        }
    }

    /// Number of chunks of the whole answer.
    pub fn chunks(&self) -> u64 {
        let after_first = self.tokens.saturating_sub(1);
        1 + u64::from(after_first.div_ceil(self.tokens_per_chunk))
    }

    /// Tokens of a chunk; none beyond the last.
    pub fn chunk_tokens(&self, sequence: u64) -> u32 {
        if sequence == 0 {
            return self.tokens.min(1);
        }
        let before = 1 + (sequence - 1) * u64::from(self.tokens_per_chunk);
        u64::from(self.tokens)
            .saturating_sub(before)
            .min(u64::from(self.tokens_per_chunk)) as u32
    }

    /// Text of a chunk: a word for each token.
    pub fn chunk_text(&self, sequence: u64) -> String {
        let words = (0..self.chunk_tokens(sequence)).map(|token| self.word(sequence, token));
        words.collect()
    }

    fn word(&self, sequence: u64, token: u32) -> String {
        let word = xxh3_64_with_seed(&sequence.to_le_bytes(), self.seed ^ u64::from(token));
        format!("{:06x} ", word & 0xff_ffff)
    }
}

/// The chunks of the whole answer of an engine with these options to a prompt.
pub fn answer_chunks(
    options: &super::EngineOptions,
    model: &ModelName,
    prompt: &str,
    max_tokens: u32,
) -> Vec<String> {
    let tokens = max_tokens.min(options.answer_tokens);
    let answer = Answer::new(model, prompt, tokens, options.tokens_per_chunk);
    (0..answer.chunks())
        .map(|sequence| answer.chunk_text(sequence))
        .collect()
}
