use {
    crate::ids::{AdapterName, AttemptId, Incarnation, ModelName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A request to an engine to run a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Id of the attempt, echoed in each chunk.
    pub attempt: AttemptId,
    /// Daemon that owns the attempt.
    pub owner: Incarnation,
    /// Run of the target that the request is for; any other run refuses it.
    pub expect_incarnation: Incarnation,
    /// Time until the deadline, in ms. The engine drops the prompt when it has passed.
    pub deadline_ms: u64,
    /// Scheduling priority, from 0 (most urgent) to 9.
    pub priority: u8,
    /// Model to run.
    pub model: ModelName,
    /// Adapter to run; absent for the plain model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Version of the model that must be loaded; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u32>,
    /// Text of the prompt.
    pub prompt: String,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's prefixes that end at whole blocks, shortest first.
    pub prefix_hashes: Vec<u64>,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Sequence number of the last chunk received in an earlier attempt, after which the answer
    /// continues; absent to start at the beginning.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_after: Option<u64>,
    /// Reservation at this engine whose memory the prompt uses, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reservation: Option<AttemptId>,
    /// Other engines of the group; empty if one engine has enough memory for the prompt.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub group: Vec<GroupMember>,
}

/// An engine that lends memory for a prompt to the engine that runs it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Reservation of the memory at that engine.
    pub reservation: AttemptId,
}

/// One piece of an answer, sent as a server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamChunk {
    /// Attempt that the chunk belongs to.
    pub attempt: AttemptId,
    /// Index of the chunk in the whole answer, from 0; continues across a resume.
    pub sequence: u64,
    /// Text that the chunk adds to the answer.
    pub text: String,
    /// Number of tokens in `text`.
    pub tokens: u32,
    /// Whether this chunk completes the answer.
    #[serde(default)]
    pub end: bool,
}

/// The reason for which a target refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The target has no free slot or not enough free memory.
    Full,
    /// The target is shutting down.
    Leaving,
    /// The request was for another run of the target.
    OtherIncarnation,
    /// The model, adapter or version is not loaded.
    NotLoaded,
    /// The deadline passed while the request was queued.
    Expired,
    /// The request is malformed or exceeds the target's total capacity.
    Invalid,
}

/// A target's guarantee that it has not run an attempt and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Attempt that was refused.
    pub attempt: AttemptId,
    /// Cause of the refusal.
    pub reason: RefusalReason,
    /// Time after which the target may have capacity, in ms; absent if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// A request to stop an attempt and free its memory and slot. Idempotent. If the attempt arrives
/// after the cancellation, the target refuses it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Attempt to stop.
    pub attempt: AttemptId,
}

/// A request to reserve memory for a group of engines. Sending it again renews the reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Id of the reservation, chosen by the owner.
    pub reservation: AttemptId,
    /// Daemon that owns the reservation.
    pub owner: Incarnation,
    /// Run of the target that the request is for; any other run refuses it.
    pub expect_incarnation: Incarnation,
    /// Amount of memory, in tokens.
    pub tokens: u64,
    /// Time after which the reservation expires unless renewed, in ms.
    pub hold_ms: u64,
}

/// A request to release a reservation. Idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Reservation to release.
    pub reservation: AttemptId,
}
