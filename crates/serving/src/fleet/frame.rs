use {
    super::{EngineGroup, Roster},
    crate::{
        PromptAsk, Refusal, Weighed,
        names::{FailureDomain, TargetId},
        quotas::{PermitAnswer, PermitAsk},
        relays::{Extent, Follow, Word},
        retries::Fingerprint,
        targets::{AddressTakeover, TargetChange, TargetLimit},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A prompt at work, named by the run of the instance that placed it and a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// Run of the instance, drawn at random at its start.
    pub run: u64,
    /// Number within the run.
    pub number: u64,
}

/// What an instance tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its run, drawn at random at its start.
    pub run: u64,
    /// Failure domain in which it stands.
    pub failure_domain: FailureDomain,
    /// Where callers send requests.
    pub caller_address: SocketAddr,
    /// Where peers link.
    pub peer_address: SocketAddr,
    /// Processor time that it has, in thousandths of a core.
    pub cpu_millis: u32,
    /// Time between two of its heartbeats, in ms.
    pub beat_ms: u64,
    /// Version of the configuration that it has in force.
    pub version: u64,
    /// Revision of the store of the newest change that it knows.
    pub revision: u64,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it was told to stop.
    pub leaving: bool,
    /// When it says so, in ms by a clock of its own: of two statements of a run the later one holds,
    /// whichever way they come.
    pub said_at_ms: u64,
}

/// A heartbeat of an instance of which nothing has changed but what it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Version of the configuration that it has in force.
    pub version: u64,
    /// Revision of the store of the newest change that it knows.
    pub revision: u64,
    /// Whether it wants the receiver to link back.
    pub asks_for_link: bool,
    /// Number of groups into which it divides the engines, 0 if it doesn't say.
    #[serde(default)]
    pub engine_groups: u32,
    /// What it asks of the receiver, if that is a relay that it goes by.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub follows: Option<Follow>,
}

impl Member {
    /// Whether it says the same as another of its beats, but for what changes with each change that
    /// is published.
    pub fn says_the_same(&self, other: &Self) -> bool {
        let comparable = Self {
            version: other.version,
            revision: other.revision,
            said_at_ms: other.said_at_ms,
            ..self.clone()
        };
        comparable == *other
    }
}

/// A target that broke off the work on a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target.
    pub target: TargetId,
}

/// A prompt that was sent to engines, and what it is expected to do there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Placed {
    /// The prompt.
    pub job: JobId,
    /// The engine that answers, then those that help it read.
    pub engines: Vec<TargetId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that the answer is expected to have.
    pub answer_tokens: u32,
    /// Longest pause with which it is on time, in ms.
    pub pause_limit_ms: u32,
    /// Time until its first event is late, in ms; negative if it is late already.
    pub slack_ms: i32,
    /// Memory that is set aside for it at some of the engines that help.
    pub reserved: Option<Reserved>,
    /// Whether a little memory is set aside at the engine that answers, too, so that its part isn't
    /// read behind those of prompts that come later.
    pub goes_first: bool,
    /// When its first event is expected, in ms from its sending.
    #[serde(default)]
    pub first_event_ms: u32,
}

/// How many times slower than published an engine was seen to be.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EnginePace {
    /// The engine.
    pub id: TargetId,
    /// 1 for one that is as fast as published.
    pub pace: f64,
}

/// Memory that is set aside for a prompt which is larger than one engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserved {
    /// Number of engines, the first ones of those that help.
    pub engines: usize,
    /// Tokens at each of them.
    pub tokens: u64,
}

impl Reserved {
    /// Part of an engine's memory that is set aside at most: a third leaves room for the prompts
    /// that it answers itself.
    const ENGINE_PART: u64 = 3;

    /// What a prompt with its answer needs, `None` if one engine holds it.
    pub fn for_tokens(tokens: u64, engine_tokens: u64) -> Option<Self> {
        if tokens <= engine_tokens {
            return None;
        }
        let most = (engine_tokens / Self::ENGINE_PART).max(1);
        let engines = tokens.div_ceil(most);
        Some(Self {
            engines: engines as usize,
            tokens: tokens.div_ceil(engines),
        })
    }
}

/// A configuration as it was published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedText {
    /// Its version.
    pub version: u64,
    /// Its text, in the form in which it was published.
    pub text: String,
}

/// How far an instance is that is behind the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wants {
    /// Where the answer goes.
    pub reply_to: SocketAddr,
    /// What it knows.
    pub known: Extent,
}

/// A prompt for which the receiver is to choose engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementAsk {
    /// The prompt.
    pub job: JobId,
    /// Where the answer goes.
    pub reply_to: SocketAddr,
    /// The engines among which to choose.
    pub group: EngineGroup,
    /// What is asked.
    pub prompt: PromptAsk,
}

/// The engines that were chosen for a prompt of another instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementAnswer {
    /// The prompt.
    pub job: JobId,
    /// The engines, or why there are none.
    pub placement: Result<Placement, Refusal>,
}

/// Engines that were chosen for a prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The engines and what they are expected to do.
    pub placed: Placed,
    /// When the first event is expected, in ms from the choice.
    pub first_event_ms: f64,
    /// What was weighed.
    #[serde(default)]
    pub weighed: Weighed,
}

/// A message between instances. A missing part says nothing; an unknown one is passed over.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Frame {
    /// The sender, where the receiver may not know it or it has changed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub member: Option<Member>,
    /// Addresses at which peers of the sender link.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<SocketAddr>,
    /// A heartbeat.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub beat: Option<Beat>,
    /// Which instances the sender hears from.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub roster: Option<Roster>,
    /// Whether `placed` lists all that the sender has at work.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub is_snapshot: bool,
    /// How far the sender is, if it is behind.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wants: Option<Wants>,
    /// A prompt for which the receiver is to choose engines.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ask: Option<PlacementAsk>,
    /// Engines for a prompt of the receiver.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answer: Option<PlacementAnswer>,
    /// A request for which the receiver is to grant permission, or of which it is to know.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub permit_ask: Option<PermitAsk>,
    /// The answer to an ask of the receiver.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub permit_answer: Option<PermitAnswer>,
    /// How far the sender's knowledge of what is published goes, for those that go by it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub word: Option<Word>,
    /// Configuration that the receiver wanted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub configuration: Option<PublishedText>,
    /// Changes of targets that the receiver wanted.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<TargetChange>,
    /// Prompts that were sent.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub placed: Vec<Placed>,
    /// Prompts whose first event came.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub begun: Vec<JobId>,
    /// Prompts that their engines failed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<JobId>,
    /// Prompts that are over.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<JobId>,
    /// Targets that could not be reached.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<TargetId>,
    /// Runs of targets that have said that they leave.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<TargetId>,
    /// Targets that have named a limit, or name none any more.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<TargetLimit>,
    /// Entries whose targets aren't at their addresses.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub displaced: Vec<AddressTakeover>,
    /// Engines whose pace was seen to change.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<EnginePace>,
    /// Targets that broke off the work on a request.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// Requests that were broken off before and have been served now.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub served: Vec<Fingerprint>,
}

impl Frame {
    /// Whether there is nothing in it to tell.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
