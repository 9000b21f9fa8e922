use {
    crate::{
        fleet::{JobId, ReservedMemory},
        names::{AccountId, PartId, ServiceName, SharedParts, TargetId},
        retries::Fingerprint,
        targets::TargetEntry,
    },
    serde::{Deserialize, Serialize},
};

/// Minimum time after which a refused caller may retry, in ms: one pass of a busy engine.
pub const MIN_RETRY_AFTER_MS: u64 = 250;
/// Retry time given to a caller when a service has no target, in ms: about the time in which a crashed
/// target is back.
const NO_TARGET_RETRY_MS: u64 = 500;

/// A prompt for which engines are to be chosen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PromptRequest {
    /// Service to whose engines the prompt is sent.
    pub service: ServiceName,
    /// Client account of its caller.
    #[serde(default)]
    pub account: AccountId,
    /// Its priority, 0 first: that of its account, or of its route if the account has none.
    #[serde(default)]
    pub priority: u8,
    /// Hash of account, path and body.
    pub fingerprint: Fingerprint,
    /// Its parts that other prompts may share. Only the instance that admits it asks for them.
    #[serde(skip)]
    pub parts: SharedParts,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Expected length of the answer.
    pub answer_tokens: u32,
    /// Maximum length of the answer.
    #[serde(rename = "most_answer_tokens")]
    pub max_answer_tokens: u32,
    /// Time until the first event is late, in ms; negative if it is late already.
    pub slack_ms: i64,
    /// Longest pause with which the stream is on time, in ms.
    pub pause_limit_ms: u64,
    /// Time after which the caller no longer waits for the first event, in ms.
    pub patience_ms: u64,
    /// Engines that must neither answer nor help: those that were tried before, and those to which the
    /// requesting instance may send nothing now.
    #[serde(rename = "tried")]
    pub excluded: Vec<TargetId>,
    /// Whether it was sent to an engine before and is to be taken from the retry budget; false once it was
    /// taken.
    pub is_repeat: bool,
    /// Whether its caller has received a part of the stream already.
    pub is_resumed: bool,
}

/// The engines to which a prompt is sent.
#[derive(Debug, Clone)]
pub struct PromptPlacement {
    /// Id of the prompt.
    pub job: JobId,
    /// The engine that answers.
    pub engine: TargetEntry,
    /// The engines that help to read the prompt, in the order of the choice.
    pub helpers: Vec<TargetEntry>,
    /// Memory to be reserved at the first helper before the prompt is sent; `None` if none is needed.
    pub reserved: Option<ReservedMemory>,
    /// Whether the answering engine is to read its part ahead of prompts that arrive later. For this, a little
    /// memory has to be reserved there as well.
    pub is_prioritized: bool,
    /// Expected time until the first event, in ms.
    pub first_event_ms: f64,
    /// Inputs of the decision, for the log.
    pub inputs: DecisionInputs,
}

/// A call of a plain service for which a target is to be chosen.
#[derive(Debug, Clone)]
pub struct CallRequest<'a> {
    /// Service whose targets are candidates.
    pub service: &'a ServiceName,
    /// Hash of account, path and body.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that others may share.
    pub parts: &'a [PartId],
    /// Targets that were tried before.
    pub tried: &'a [TargetId],
    /// Whether it was sent to a target before and is to be taken from the retry budget; false once it was
    /// taken.
    pub is_repeat: bool,
}

/// What decides whether a request may be sent to a target at all.
#[derive(Debug, Clone, Copy)]
pub struct Admission<'a> {
    /// Its service.
    pub service: &'a ServiceName,
    /// Hash of account, path and body.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that others may share.
    pub parts: &'a [PartId],
    /// Whether it was sent to a target before and is to be taken from the retry budget.
    pub is_repeat: bool,
}

impl CallRequest<'_> {
    /// Returns what decides whether it may be sent.
    pub fn admission(&self) -> Admission<'_> {
        Admission {
            service: self.service,
            fingerprint: self.fingerprint,
            parts: self.parts,
            is_repeat: self.is_repeat,
        }
    }
}

impl PromptRequest {
    /// Returns what decides whether it may be sent.
    pub fn admission(&self) -> Admission<'_> {
        Admission {
            service: &self.service,
            fingerprint: self.fingerprint,
            parts: &self.parts,
            is_repeat: self.is_repeat,
        }
    }
}

/// The target to which a call is sent.
#[derive(Debug, Clone)]
pub struct CallPlacement {
    /// Entry of the target, as known when it was chosen.
    pub target: TargetEntry,
}

/// Inputs of the choice of engines for a prompt, for the log. Values and losses are in units of the value
/// of an answer of no length.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DecisionInputs {
    /// Expected value of the answer.
    pub gain: f64,
    /// Expected loss of the prompts and streams that the engines already run.
    #[serde(rename = "harm")]
    pub cost_to_others: f64,
    /// Expected loss of later prompts through the engine time that the prompt takes.
    pub time_loss: f64,
    /// Share of the engines' time that recently assigned reading takes, below 1.
    #[serde(rename = "used")]
    pub utilization: f64,
    /// Expected time from the choice to the first event, in ms.
    pub first_event_ms: f64,
    /// Number of engines among which it was chosen.
    pub engines: u32,
    /// Number of engines that were passed over as unreachable.
    pub passed_over: u32,
    /// Number of these that only peers couldn't reach.
    pub passed_over_by_report: u32,
    /// Whether the deciding instance knew little of what other instances place.
    pub is_blind: bool,
    /// Time since a peer last reported a placed prompt to the deciding instance, in ms; `None` if none ever
    /// has.
    #[serde(rename = "heard_ms_ago")]
    pub last_peer_prompt_age_ms: Option<u64>,
}

/// The reason for which a request gets no target. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Refusal {
    /// The service has no target that takes requests.
    NoTarget,
    /// The answer would be late or cost others more than it is worth; the load is expected to allow it after
    /// `retry_after_ms`.
    Overloaded {
        /// Time after which the caller may retry, in ms.
        retry_after_ms: u64,
        /// Inputs of the decision; `None` if no engine could take the prompt at all.
        #[serde(rename = "weighed", default)]
        inputs: Option<DecisionInputs>,
    },
    /// No target of the service may be sent anything until at least `retry_after_ms` are over, because of
    /// their limits or pauses.
    AtLimit {
        /// Time after which the caller may retry, in ms.
        retry_after_ms: u64,
    },
    /// The maximum number of attempts is used up, and none of the targets took the request.
    NoAttempt,
    /// Several targets failed while they ran the request.
    Poison,
    /// Several engines failed when they began to answer prompts with one of its parts.
    PoisonPart,
    /// The retry budget is used up.
    BudgetUsed,
}

impl Refusal {
    /// Returns the time after which the caller may retry, in ms; `None` if a retry is of no use.
    pub fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NoTarget | Self::NoAttempt => Some(NO_TARGET_RETRY_MS),
            Self::Overloaded { retry_after_ms, .. } | Self::AtLimit { retry_after_ms } => {
                Some(retry_after_ms)
            }
            Self::BudgetUsed => Some(MIN_RETRY_AFTER_MS),
            Self::Poison | Self::PoisonPart => None,
        }
    }

    /// Returns the inputs of the decision, where engines were considered and rejected.
    pub fn inputs(self) -> Option<DecisionInputs> {
        match self {
            Self::Overloaded { inputs, .. } => inputs,
            Self::NoTarget
            | Self::AtLimit { .. }
            | Self::NoAttempt
            | Self::Poison
            | Self::PoisonPart
            | Self::BudgetUsed => None,
        }
    }

    /// Returns the reason as text, for the caller and the log.
    pub fn message(self) -> &'static str {
        match self {
            Self::NoTarget => "no target takes the request now: come back",
            Self::AtLimit { .. } => "the targets take no more requests now: come back",
            Self::NoAttempt => "several targets didn't take the request: come back",
            Self::Overloaded { .. } => "the engines are too busy to answer in time: come back",
            Self::BudgetUsed => "too many requests are being repeated: come back",
            Self::Poison => "the request has broken off the work of several targets",
            Self::PoisonPart => "a part of the prompt has broken off the work of several engines",
        }
    }
}
