use {
    crate::{
        fleet::{JobId, ReservedMemory},
        names::{ServiceName, TargetId},
        retries::Fingerprint,
        targets::TargetEntry,
    },
    serde::{Deserialize, Serialize},
};

/// Shortest time after which a refused caller may come back, in ms: a pass of a busy engine.
pub const MIN_RETRY_AFTER_MS: u64 = 250;
/// Time that is told to a caller when a service has no target, in ms: about the time in which a
/// crashed target is back.
const NO_TARGET_RETRY_MS: u64 = 500;

/// A prompt that wants engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PromptRequest {
    /// Service whose engines are asked.
    pub service: ServiceName,
    /// Hash of account, path and body.
    pub fingerprint: Fingerprint,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that the answer is expected to have.
    pub answer_tokens: u32,
    /// Most tokens that the answer may have.
    pub most_answer_tokens: u32,
    /// Time until the first event is late, in ms; negative if it is late already.
    pub slack_ms: i64,
    /// Longest pause with which the stream is on time, in ms.
    pub pause_limit_ms: u64,
    /// Time until the caller leaves if no event comes, in ms.
    pub patience_ms: u64,
    /// Engines that aren't to answer or help: those that were tried before, and those to which the asking
    /// instance may send nothing now.
    #[serde(rename = "tried")]
    pub excluded: Vec<TargetId>,
    /// Whether it was sent to an engine before.
    pub is_repeat: bool,
    /// Whether its caller has a part of the stream already.
    pub is_resumed: bool,
}

/// Where a prompt goes.
#[derive(Debug, Clone)]
pub struct PromptPlacement {
    /// Its name among the prompts at work.
    pub job: JobId,
    /// The engine that answers.
    pub engine: TargetEntry,
    /// The engines that help to read it.
    pub helpers: Vec<TargetEntry>,
    /// Memory to be set aside at the first of them before it is sent.
    pub reserved: Option<ReservedMemory>,
    /// Whether a little memory is to be set aside at the engine that answers, too, so that its part
    /// isn't read behind those of prompts that come later.
    pub goes_first: bool,
    /// When the first event is expected, in ms from now.
    pub first_event_ms: f64,
    /// What was weighed.
    pub weighed: DecisionInputs,
}

/// A call of a plain service that wants a target.
#[derive(Debug, Clone)]
pub struct CallRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Hash of account, path and body.
    pub fingerprint: Fingerprint,
    /// Targets that were tried before.
    pub tried: &'a [TargetId],
    /// Whether it was sent to a target before.
    pub is_repeat: bool,
}

/// Where a call goes.
#[derive(Debug, Clone)]
pub struct CallPlacement {
    /// The target.
    pub target: TargetEntry,
}

/// What was weighed where engines were chosen for a prompt, for the log. Worth is in that of an
/// answer of no length.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DecisionInputs {
    /// What the answer is expected to be worth.
    pub gain: f64,
    /// What prompts and streams at work lose by it.
    pub harm: f64,
    /// What later prompts lose by the time that it takes.
    pub time_loss: f64,
    /// Share of the engines' time that was given reading of late.
    pub used: f64,
    /// When its first event is expected, in ms from the choice.
    pub first_event_ms: f64,
    /// Engines among which it was chosen.
    pub engines: u32,
    /// Whether the chooser knew little of what others place.
    pub is_blind: bool,
    /// Time since the chooser last heard of a prompt of another, in ms; `None` if it never has.
    pub heard_ms_ago: Option<u64>,
}

/// Why a request gets no target. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Refusal {
    /// The service has no target that takes requests.
    NoTarget,
    /// Nothing would come of it in time; the load is expected to allow it after `retry_after_ms`.
    Overloaded {
        /// When to come back, in ms.
        retry_after_ms: u64,
        /// What was weighed, unless no engine could take it at all.
        #[serde(default)]
        weighed: Option<DecisionInputs>,
    },
    /// All targets of the service take nothing for a while, at least until `retry_after_ms` are over.
    AtLimit {
        /// When to come back, in ms.
        retry_after_ms: u64,
    },
    /// It was sent to as many targets as it may.
    NoAttempt,
    /// The request has broken off the work of several targets.
    Poison,
    /// The budget for repeats is used up.
    BudgetUsed,
}

impl Refusal {
    /// When the caller may come back, in ms; `None` if coming back is of no use.
    pub fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NoTarget | Self::NoAttempt => Some(NO_TARGET_RETRY_MS),
            Self::Overloaded { retry_after_ms, .. } | Self::AtLimit { retry_after_ms } => {
                Some(retry_after_ms)
            }
            Self::BudgetUsed => Some(MIN_RETRY_AFTER_MS),
            Self::Poison => None,
        }
    }

    /// What was weighed where it was found that nothing would come of it in time.
    pub fn weighed(self) -> Option<DecisionInputs> {
        match self {
            Self::Overloaded { weighed, .. } => weighed,
            Self::NoTarget
            | Self::AtLimit { .. }
            | Self::NoAttempt
            | Self::Poison
            | Self::BudgetUsed => None,
        }
    }

    /// Why, for the caller and the log.
    pub fn message(self) -> &'static str {
        match self {
            Self::NoTarget => "no target takes the request now: come back",
            Self::AtLimit { .. } => "the targets take no more requests now: come back",
            Self::NoAttempt => "several targets didn't take the request: come back",
            Self::Overloaded { .. } => "the engines are too busy to answer in time: come back",
            Self::BudgetUsed => "too many requests are being repeated: come back",
            Self::Poison => "the request has broken off the work of several targets",
        }
    }
}
