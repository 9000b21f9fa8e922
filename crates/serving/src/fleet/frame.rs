use {
    super::{EngineGroup, Roster, RosterRows},
    crate::{
        DecisionInputs, PromptRequest, Refusal,
        calls::{CallPicture, CallReport},
        names::{AccountId, FailureDomain, PartId, TargetId},
        quotas::{PermitRequest, PermitResponse},
        reach::ReachStatement,
        relays::{FollowRequest, KnownState, RelayStatus},
        retries::Fingerprint,
        targets::{AddressTakeover, EvacuationChange, TargetChange, TargetLimit},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Id of a prompt in flight: the run of the instance that placed it, and a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// Run of the instance, drawn at random at its start.
    pub run: u64,
    /// Number of the prompt within the run.
    pub number: u64,
}

/// State of an instance as it reports it to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Run of the instance, drawn at random at its start.
    pub run: u64,
    /// Failure domain in which the instance runs.
    pub failure_domain: FailureDomain,
    /// Address at which it accepts requests of callers.
    pub caller_address: SocketAddr,
    /// Address at which it accepts peer links.
    pub peer_address: SocketAddr,
    /// Processor time that it may use, in thousandths of a core.
    pub cpu_millis: u32,
    /// Time between two of its heartbeats, in ms.
    #[serde(rename = "beat_ms")]
    pub heartbeat_interval_ms: u64,
    /// Version of its active configuration.
    pub version: u64,
    /// Store revision of the newest change that it knows.
    pub revision: u64,
    /// Whether it serves requests.
    pub ready: bool,
    /// Whether it was ordered to stop. This can't be undone within a run.
    pub leaving: bool,
    /// Time of this statement, in ms by the instance's own clock. Of two statements of one run the later
    /// one wins, in whichever order they arrive.
    #[serde(rename = "said_at_ms")]
    pub stated_at_ms: u64,
    /// Whether it reads [`RosterRows`]; false for instances of former builds, which read a [`Roster`] only.
    #[serde(rename = "rows", default)]
    pub reads_rows: bool,
}

/// Heartbeat of an instance whose state is unchanged except for what it knows of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatFrame {
    /// Version of its active configuration.
    pub version: u64,
    /// Store revision of the newest change that it knows.
    pub revision: u64,
    /// Whether the receiver is to open a link back to the sender.
    #[serde(rename = "asks_for_link")]
    pub requests_link: bool,
    /// Number of groups into which the sender divides the engines, 0 if it doesn't report one.
    #[serde(default)]
    pub engine_groups: u32,
    /// Revision up to which all removals are those of targets that have left, as the sender knows; `None` after an
    /// outage of the store in which entries may have expired, and from instances of a large fleet that are no hubs.
    #[serde(rename = "settled", default, skip_serializing_if = "Option::is_none")]
    pub settled_revision: Option<u64>,
    /// What the sender requests of the receiver, if that is a relay that it follows.
    #[serde(rename = "follows", default, skip_serializing_if = "Option::is_none")]
    pub follow_request: Option<FollowRequest>,
}

impl Member {
    /// Returns whether the two states are equal, apart from the fields that every published change updates.
    pub fn is_same_state(&self, other: &Self) -> bool {
        let comparable = Self {
            version: other.version,
            revision: other.revision,
            stated_at_ms: other.stated_at_ms,
            ..self.clone()
        };
        comparable == *other
    }
}

/// A target that failed while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The run of the target that failed.
    pub target: TargetId,
    /// Time for which it had the request when it failed, in ms.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ran_ms: u64,
    /// Time since it failed, in ms.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub age_ms: u64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A request, or a part of prompts, that is kept from targets, since several have failed while they ran it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condemnation {
    /// Fingerprint of the request, or id of the part.
    pub fingerprint: Fingerprint,
    /// Number of targets that failed.
    pub targets: u32,
    /// Time since the last one failed, in ms.
    pub age_ms: u64,
    /// Time from the first failure to the last one, in ms.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub span_ms: u64,
}

/// An engine that failed while it began to answer a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The parts of the prompt that may have caused it.
    pub parts: Vec<PartId>,
    /// The run of the engine that failed.
    pub target: TargetId,
    /// Time for which it had the prompt when it failed, in ms.
    pub ran_ms: u64,
    /// Time since it failed, in ms.
    pub age_ms: u64,
}

impl PartCrash {
    /// Returns the crash as one of a single part.
    pub fn of_part(&self, part: PartId) -> Crash {
        Crash {
            fingerprint: part.0,
            target: self.target.clone(),
            ran_ms: self.ran_ms,
            age_ms: self.age_ms,
        }
    }
}

/// A part with which an answer went on well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundPart {
    /// The part.
    pub part: PartId,
    /// Time since then, in ms.
    pub age_ms: u64,
}

/// A prompt that was sent to engines, with the load that it is expected to cause.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacedPrompt {
    /// Id of the prompt.
    pub job: JobId,
    /// The engine that answers, followed by its helpers, which read parts of the prompt.
    pub engines: Vec<TargetId>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer, in tokens.
    pub answer_tokens: u32,
    /// Longest pause between events with which the stream is on time, in ms.
    pub pause_limit_ms: u32,
    /// Time until the first event is late, in ms; negative if it is late already.
    pub slack_ms: i32,
    /// Memory that is reserved at some of the helpers; `None` if one engine holds the prompt.
    pub reserved: Option<ReservedMemory>,
    /// Whether the answering engine reads its part ahead of prompts that arrive later. For this, a little
    /// memory is reserved there as well.
    #[serde(rename = "goes_first")]
    pub is_prioritized: bool,
    /// Expected time from sending to the first event, in ms.
    #[serde(default)]
    pub first_event_ms: u32,
    /// Client account of its caller.
    #[serde(default)]
    pub account: AccountId,
    /// Its priority, 0 first.
    #[serde(default)]
    pub priority: u8,
}

/// Observed slowdown of an engine against its published timing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EnginePace {
    /// Id of the engine's run.
    pub id: TargetId,
    /// Factor by which it is slower than published; 1 for an engine that is as fast as published.
    pub pace: f64,
}

/// Memory that is reserved for a prompt which doesn't fit into the memory of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservedMemory {
    /// Number of engines that reserve memory: the first ones of the helpers.
    pub engines: usize,
    /// Memory at each of them, in tokens.
    pub tokens: u64,
}

impl ReservedMemory {
    /// Divides an engine's memory into the part that may be reserved: a third leaves room for the prompts
    /// that the engine answers itself.
    const ENGINE_DIVISOR: u64 = 3;

    /// Returns the memory that a prompt and its answer need, both counted in `tokens`; `None` if one engine
    /// holds them.
    pub fn for_tokens(tokens: u64, engine_tokens: u64) -> Option<Self> {
        if tokens <= engine_tokens {
            return None;
        }
        let max_tokens = (engine_tokens / Self::ENGINE_DIVISOR).max(1);
        let engines = tokens.div_ceil(max_tokens);
        Some(Self {
            engines: engines as usize,
            tokens: tokens.div_ceil(engines),
        })
    }
}

/// A configuration in its published form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedText {
    /// Version of the configuration.
    pub version: u64,
    /// Text as it was published.
    pub text: String,
}

/// Request of an instance that lags behind its peers for what it lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatchUpRequest {
    /// Peer address to which the reply is sent.
    pub reply_to: SocketAddr,
    /// State that the sender already has.
    pub known: KnownState,
}

/// Request to choose engines for a prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Id of the prompt.
    pub job: JobId,
    /// Peer address to which the response is sent.
    pub reply_to: SocketAddr,
    /// Group of engines among which to choose.
    pub group: EngineGroup,
    /// The prompt's size, deadlines and limits.
    pub prompt: PromptRequest,
}

/// Response to a request to choose engines for a prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementResponse {
    /// Id of the prompt.
    pub job: JobId,
    /// The chosen engines, or the reason for which none were chosen.
    pub placement: Result<Placement, Refusal>,
}

/// Engines that were chosen for a prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The engines and their expected load.
    pub placed: PlacedPrompt,
    /// Expected time from the choice to the first event, in ms.
    pub first_event_ms: f64,
    /// Inputs of the decision, for the log.
    #[serde(rename = "weighed", default)]
    pub inputs: DecisionInputs,
}

/// A message between instances. An absent field makes no statement; unknown fields are ignored.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Frame {
    /// State of the sender, sent where the receiver may not know it or it has changed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub member: Option<Member>,
    /// Peer addresses of other instances that the sender knows.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<SocketAddr>,
    /// Heartbeat of the sender.
    #[serde(rename = "beat", skip_serializing_if = "Option::is_none")]
    pub heartbeat: Option<HeartbeatFrame>,
    /// The instances from which the sender receives frames, sent by hubs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub roster: Option<Roster>,
    /// The same in compact form, for receivers that read it.
    #[serde(rename = "rows", skip_serializing_if = "Option::is_none")]
    pub roster_rows: Option<RosterRows>,
    /// Whether `placed` lists all prompts that the sender has in flight and the receiver is to know. The
    /// receiver removes the sender's other prompts.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub is_snapshot: bool,
    /// Request for what the sender lacks, if it lags behind.
    #[serde(rename = "wants", skip_serializing_if = "Option::is_none")]
    pub catch_up_request: Option<CatchUpRequest>,
    /// Request to choose engines for a prompt.
    #[serde(rename = "ask", skip_serializing_if = "Option::is_none")]
    pub placement_request: Option<PlacementRequest>,
    /// Engines for a prompt of the receiver.
    #[serde(rename = "answer", skip_serializing_if = "Option::is_none")]
    pub placement_response: Option<PlacementResponse>,
    /// Request for a permit, or a notice of a request that was sent without one.
    #[serde(rename = "permit_ask", skip_serializing_if = "Option::is_none")]
    pub permit_request: Option<PermitRequest>,
    /// Response to a permit request of the receiver.
    #[serde(rename = "permit_answer", skip_serializing_if = "Option::is_none")]
    pub permit_response: Option<PermitResponse>,
    /// The sender's status as a relay, sent to its followers.
    #[serde(rename = "word", skip_serializing_if = "Option::is_none")]
    pub relay_status: Option<RelayStatus>,
    /// Configuration that the receiver lacks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub configuration: Option<PublishedText>,
    /// Changes of targets that the receiver lacks.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<TargetChange>,
    /// Begins and ends of evacuations that the receiver lacks.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub evacuations: Vec<EvacuationChange>,
    /// Prompts that were sent to engines.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub placed: Vec<PlacedPrompt>,
    /// Prompts whose first event has arrived.
    #[serde(rename = "begun", skip_serializing_if = "Vec::is_empty")]
    pub started: Vec<JobId>,
    /// Prompts that failed at their engines.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<JobId>,
    /// Prompts that have ended.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<JobId>,
    /// Targets to which a connection failed, and engines that failed to help.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<TargetId>,
    /// Statements of instances of which services they can't reach.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub reach: Vec<ReachStatement>,
    /// Runs of targets that have announced that they leave.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<TargetId>,
    /// Targets that have set, changed or lifted a rate limit.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<TargetLimit>,
    /// Entries at whose addresses another target answers.
    #[serde(rename = "displaced", skip_serializing_if = "Vec::is_empty")]
    pub takeovers: Vec<AddressTakeover>,
    /// Engines whose observed pace has changed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<EnginePace>,
    /// Targets that failed while they ran a request.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// Requests that are kept from targets: those of which the receiver may not have heard all crashes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub condemned: Vec<Condemnation>,
    /// Engines that failed while they began to answer prompts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub part_crashes: Vec<PartCrash>,
    /// Parts of prompts that are kept from engines.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub condemned_parts: Vec<Condemnation>,
    /// Parts of which others say that they crash engines, and with which answers went on well.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub sound_parts: Vec<SoundPart>,
    /// Fingerprints of requests that failed with a target before and have been served since.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub served: Vec<Fingerprint>,
    /// The sender's calls to plain targets since its last report.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub calls: Vec<CallReport>,
    /// What the fleet together knows of plain targets, as far as it has changed; sent by the first responsive hub.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub call_picture: Vec<CallPicture>,
}

/// Main content of a [`Frame`], a label in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameKind {
    /// First frame of a link, or another one with the state of the sender.
    Greeting,
    /// Who is alive.
    Roster,
    /// Published state and a relay's status.
    Published,
    /// A request to choose engines, or the response.
    Placement,
    /// A request for a permit, or the response.
    Permit,
    /// Prompts that were placed, began or ended, and the pace of engines.
    Prompts,
    /// Notices of targets and requests for all instances.
    Notices,
    /// A report of calls to plain targets.
    Calls,
    /// A heartbeat.
    Heartbeat,
}

impl FrameKind {
    /// Returns the label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Greeting => "greeting",
            Self::Roster => "roster",
            Self::Published => "published",
            Self::Placement => "placement",
            Self::Permit => "permit",
            Self::Prompts => "prompts",
            Self::Notices => "notices",
            Self::Calls => "calls",
            Self::Heartbeat => "heartbeat",
        }
    }
}

impl Frame {
    /// Returns the main content of the frame.
    pub fn kind(&self) -> FrameKind {
        if self.heartbeat.is_some() {
            return if self.has_roster() {
                FrameKind::Greeting
            } else {
                FrameKind::Heartbeat
            };
        }
        if self.has_roster() {
            return FrameKind::Roster;
        }
        if self.has_published_state() {
            return FrameKind::Published;
        }
        if self.placement_request.is_some() || self.placement_response.is_some() {
            return FrameKind::Placement;
        }
        if self.permit_request.is_some() || self.permit_response.is_some() {
            return FrameKind::Permit;
        }
        if self.has_prompts() {
            return FrameKind::Prompts;
        }
        if !self.calls.is_empty() {
            return FrameKind::Calls;
        }
        FrameKind::Notices
    }

    fn has_roster(&self) -> bool {
        self.roster.is_some() || self.roster_rows.is_some()
    }

    fn has_published_state(&self) -> bool {
        self.configuration.is_some()
            || !self.targets.is_empty()
            || !self.evacuations.is_empty()
            || self.relay_status.is_some()
            || self.catch_up_request.is_some()
    }

    fn has_prompts(&self) -> bool {
        self.is_snapshot
            || !self.placed.is_empty()
            || !self.started.is_empty()
            || !self.failed.is_empty()
            || !self.ended.is_empty()
            || !self.paces.is_empty()
    }

    /// Returns whether the frame makes no statement.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
