/// Tokens in the unit of the published cost of context.
const TOKENS_PER_K: f64 = 1_000.0;
/// Pairs of tokens in the unit of the published cost of attention.
const PAIRS_PER_M: f64 = 1_000_000.0;

/// Published timing of a model engine. An engine runs passes: each advances every writing stream by
/// `stride_steps` tokens and reads chunks of waiting prompts meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Capacity of its memory, in tokens.
    pub memory_tokens: u64,
    /// Time of one step of a pass, which writes one token for each stream, in ms.
    pub step_ms: f64,
    /// Additional time of a step for each writing stream, in ms.
    pub per_writer_ms: f64,
    /// Additional time of a step for each thousand tokens in the context of a writing stream, in ms.
    pub context_per_k_ms: f64,
    /// Tokens of prompts that are read in one ms.
    pub read_tokens_per_ms: f64,
    /// Time for each million pairs of a token and an earlier one, in ms: the cost of attention.
    pub pairs_per_m_ms: f64,
    /// Maximum number of tokens that are read in one step.
    pub chunk_tokens: u64,
    /// Number of steps in a pass with writing streams.
    pub stride_steps: u32,
    /// Additional time of a step at the first engine of a prompt that is split among engines, in ms.
    pub hop_ms: f64,
    /// Age of the state that an engine reports, in ms.
    pub report_lag_ms: u64,
}

impl EngineSpec {
    /// Returns the time in which one engine reads a whole prompt, in ms.
    pub fn read_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let pairs_m = tokens * tokens / 2.0 / PAIRS_PER_M;
        tokens / self.read_tokens_per_ms + pairs_m * self.pairs_per_m_ms
    }

    /// Returns the time in which an engine without writing streams reads its part of a prompt that is split
    /// evenly among `degree` engines, in ms. Each chunk takes a step in addition.
    pub fn part_ms(&self, tokens: u64, degree: usize) -> f64 {
        let part_tokens = tokens as f64 / degree.max(1) as f64;
        let steps = (part_tokens / self.chunk_tokens.max(1) as f64).ceil();
        self.read_ms(tokens) / degree.max(1) as f64 + steps * self.step_ms
    }

    /// Returns the time of a pass in which nothing is read, in ms.
    pub fn pass_ms(&self, writers: usize, context_tokens: u64) -> f64 {
        let step_ms = self.step_ms
            + writers as f64 * self.per_writer_ms
            + context_tokens as f64 / TOKENS_PER_K * self.context_per_k_ms;
        step_ms * f64::from(self.stride_steps)
    }

    /// Returns the maximum number of tokens that a pass with a writing stream reads.
    pub fn pass_read_tokens(&self) -> u64 {
        self.chunk_tokens * u64::from(self.stride_steps)
    }
}
