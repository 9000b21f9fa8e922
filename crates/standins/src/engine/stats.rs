use {
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, HashMap},
    whinlatch_wire::{
        ids::{AttemptId, Incarnation},
        target::RefusalReason,
    },
};

/// What an engine did so far, over all its incarnations, and what it holds now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// The present run.
    pub incarnation: Incarnation,
    /// Runs so far.
    pub incarnations: u64,
    /// How many times each attempt began to run.
    pub runs_by_attempt: BTreeMap<AttemptId, u32>,
    /// How many times a prompt with this first line began to run.
    pub runs_by_key: BTreeMap<String, u32>,
    /// How many times a prompt with this first line ran to its end.
    pub ended_by_key: BTreeMap<String, u32>,
    /// Refusals by reason.
    pub refusals: HashMap<RefusalReason, u64>,
    /// Cancels received.
    pub cancels: u64,
    /// Requests that were dropped because their caller was gone.
    pub callers_gone: u64,
    /// Requests that were dropped because their time was over.
    pub expired: u64,
    /// Prompt tokens read.
    pub prefilled_tokens: u64,
    /// Prompt tokens that the prefix cache saved.
    pub cached_tokens: u64,
    /// Requests that run now.
    pub running: u32,
    /// Requests that wait now.
    pub waiting: u32,
    /// Reservations and exports that are held now.
    pub reservations: u32,
    /// Tokens of memory in use that can't yield.
    pub memory_used_tokens: u64,
    /// Blocks in the prefix cache.
    pub cached_blocks: usize,
}

impl EngineStats {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            incarnations: 1,
            runs_by_attempt: BTreeMap::new(),
            runs_by_key: BTreeMap::new(),
            ended_by_key: BTreeMap::new(),
            refusals: HashMap::new(),
            cancels: 0,
            callers_gone: 0,
            expired: 0,
            prefilled_tokens: 0,
            cached_tokens: 0,
            running: 0,
            waiting: 0,
            reservations: 0,
            memory_used_tokens: 0,
            cached_blocks: 0,
        }
    }
}
