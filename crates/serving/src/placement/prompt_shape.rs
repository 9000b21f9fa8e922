use crate::{engines::EngineLoad, fleet::ReservedMemory, mechanism::Without};

/// What is asked of the engines.
#[derive(Debug, Clone, Copy)]
pub struct PromptShape {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that the answer is expected to have.
    pub answer_tokens: u32,
    /// Time until its first event is late, in ms; 0 if it is late already.
    pub slack_ms: f64,
    /// Longest pause with which it is on time, in ms.
    pub pause_limit_ms: f64,
    /// Time after which nobody waits for its first event, in ms.
    pub patience_ms: f64,
    /// Memory to be set aside for it.
    pub reserved: Option<ReservedMemory>,
    /// Share of the engines' time that was given reading of late.
    pub used: f64,
    /// Whether little is known of what other instances place.
    pub is_blind: bool,
    /// Parts of the choice that are switched off.
    pub without: Without,
}

/// An engine that may take part.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// How much this instance likes it, from 0 to 1; decides between equals.
    pub liking: f64,
    /// Whether it has named a limit of requests. It reads only what it reads alone, since orders for memory at those
    /// that read together would count towards the limit.
    pub is_limited: bool,
    /// What it is expected to be doing.
    pub load: &'a EngineLoad,
}
