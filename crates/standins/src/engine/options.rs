use {
    crate::standin::ANY_PORT,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    whinlatch_wire::record::ServedModel,
};

/// How an engine starts and how fast it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Models, adapters and versions loaded at the start.
    pub models: Vec<ServedModel>,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait at most; more are refused.
    pub queue: usize,
    /// Tokens of memory.
    pub memory_tokens: u64,
    /// Prompt tokens read a second, attention aside.
    pub prefill_tokens_per_s: f64,
    /// Cost of attention for each million pairs of tokens.
    pub attention_ms_per_million_pairs: f64,
    /// Most prompt tokens read in one step, beside which the decode steps wait.
    pub chunk_tokens: u64,
    /// Answer tokens a second for each running request, prefill aside.
    pub decode_tokens_per_s: f64,
    /// Longest answer in tokens, also where a request allows more.
    pub answer_tokens: u32,
    /// Lets computing time run this many times faster. Deadlines and lags aren't scaled.
    pub tokens_scale: f64,
    /// How late load reports are.
    pub report_lag_ms: u64,
    /// How late cache events are.
    pub event_lag_ms: u64,
    /// Each cache event whose number divides by this is lost; none if 0.
    pub event_gap_every: u64,
    /// Whether orders with an old fencing number are refused.
    pub enforces_fencing: bool,
    /// Whether attempts and reservations are dropped when their time is over.
    pub enforces_deadlines: bool,
    /// Time to load one model, adapter or version from the weight store.
    pub load_ms: u64,
    /// Tokens of KV cache fetched a second from another engine.
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
    /// Time to fetch so many tokens of KV cache.
    pub(super) fn fetch_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.kv_tokens_per_s / self.tokens_scale)
    }
}
