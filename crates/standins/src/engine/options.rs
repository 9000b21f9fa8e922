use {
    crate::standin::ANY_PORT,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    whinlatch_wire::record::ServedModel,
};

/// Settings of an engine: address, models, capacity and speed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Address to listen on; a free loopback port by default.
    pub listen: SocketAddr,
    /// Models, adapters and versions loaded at startup.
    pub models: Vec<ServedModel>,
    /// Maximum number of running requests.
    pub slots: usize,
    /// Maximum number of waiting requests; further ones are refused.
    pub queue: usize,
    /// KV memory, in tokens.
    pub memory_tokens: u64,
    /// Prefill speed in prompt tokens per second, without the cost of attention.
    pub prefill_tokens_per_s: f64,
    /// Cost of attention per million pairs of tokens, in ms.
    pub attention_ms_per_million_pairs: f64,
    /// Maximum number of prompt tokens prefilled in one step, which delays the decoding requests.
    pub chunk_tokens: u64,
    /// Decode speed in answer tokens per second and running request, without prefill.
    pub decode_tokens_per_s: f64,
    /// Maximum length of an answer in tokens, even if a request allows more.
    pub answer_tokens: u32,
    /// Factor by which computing is faster. Deadlines and lags aren't scaled.
    pub tokens_scale: f64,
    /// Delay of load reports, in ms.
    pub report_lag_ms: u64,
    /// Delay of cache events, in ms.
    pub event_lag_ms: u64,
    /// Drops each cache event whose sequence number is a multiple of this; none if 0.
    pub event_gap_every: u64,
    /// Whether orders with an old fencing number are refused.
    pub enforces_fencing: bool,
    /// Whether attempts and reservations are dropped when they expire.
    pub enforces_deadlines: bool,
    /// Time to load one model, adapter or version from the weight store, in ms.
    pub load_ms: u64,
    /// Speed at which KV cache is fetched from another engine, in tokens per second.
    pub kv_tokens_per_s: f64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: ANY_PORT,
            models: Vec::new(),
            slots: 16,
            queue: 64,
            memory_tokens: 400_000,
            prefill_tokens_per_s: 20_000.0,
            attention_ms_per_million_pairs: 0.1,
            chunk_tokens: 1_024,
            decode_tokens_per_s: 50.0,
            answer_tokens: 64,
            tokens_scale: 1.0,
            report_lag_ms: 200,
            event_lag_ms: 500,
            event_gap_every: 0,
            enforces_fencing: true,
            enforces_deadlines: true,
            load_ms: 100,
            kv_tokens_per_s: 1_000_000.0,
        }
    }
}

impl EngineOptions {
    /// Returns the time to fetch this many tokens of KV cache.
    pub(super) fn fetch_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.kv_tokens_per_s / self.tokens_scale)
    }
}
