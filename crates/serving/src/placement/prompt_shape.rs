use crate::{engines::EngineLoad, fleet::ReservedMemory, mechanism::DisabledMechanisms};

/// Size and time limits of a prompt, and the state in which its engines are chosen.
#[derive(Debug, Clone, Copy)]
pub struct PromptShape {
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Expected length of the answer.
    pub answer_tokens: u32,
    /// Time until the first event is late, in ms; 0 if it is late already.
    pub slack_ms: f64,
    /// Longest pause with which the stream is on time, in ms.
    pub pause_limit_ms: f64,
    /// Time after which the caller no longer waits for the first event, in ms.
    pub patience_ms: f64,
    /// Memory to be reserved at helpers; `None` if the prompt fits into the engine that answers.
    pub reserved: Option<ReservedMemory>,
    /// Share of the engines' time that recently assigned reading takes, below 1.
    pub utilization: f64,
    /// Whether this instance knows little of what other instances place on the engines.
    pub is_blind: bool,
    /// Mechanisms that are disabled for this choice.
    pub mechanisms: DisabledMechanisms,
}

/// An engine that may be chosen.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// Affinity of this instance to the engine, from 0 to 1; decides between equal engines.
    pub affinity: f64,
    /// Whether the engine announced a limit of requests. It then takes only prompts that it reads alone,
    /// since reservations of memory at engines that read together would count towards the limit.
    pub is_limited: bool,
    /// Predicted load.
    pub load: &'a EngineLoad,
}
