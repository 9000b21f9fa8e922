use {
    crate::ids::{AdapterName, AttemptId, Incarnation, ModelName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Asks an engine to run a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The attempt; echoed in each chunk.
    pub attempt: AttemptId,
    /// The daemon that owns the attempt.
    pub owner: Incarnation,
    /// The run of the target that is meant; another run refuses.
    pub expect_incarnation: Incarnation,
    /// Time left, in ms. The engine drops the work after it.
    pub deadline_ms: u64,
    /// 0 is most urgent, 9 least.
    pub priority: u8,
    /// Model to run.
    pub model: ModelName,
    /// Adapter to run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Version that must be loaded; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u32>,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's prefixes at each whole block, shortest first.
    pub prefix_hashes: Vec<u64>,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Go on after this chunk of an earlier attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_after: Option<u64>,
    /// Reservation at this engine that the prompt uses.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reservation: Option<AttemptId>,
    /// The other engines of the group, where the prompt needs more than one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub group: Vec<GroupMember>,
}

/// An engine that holds part of a prompt's memory for the engine that runs it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Its address.
    pub address: SocketAddr,
    /// The reservation made there.
    pub reservation: AttemptId,
}

/// One piece of an answer, sent as a server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamChunk {
    /// The attempt that is answered.
    pub attempt: AttemptId,
    /// Counts the chunks of the whole answer from 0, across a resume.
    pub sequence: u64,
    /// Text of this piece.
    pub text: String,
    /// Tokens of this piece.
    pub tokens: u32,
    /// Whether the answer is whole with this chunk.
    #[serde(default)]
    pub end: bool,
}

/// Why a target didn't run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No slot or no memory.
    Full,
    /// It is about to leave.
    Leaving,
    /// It is another run than the one meant.
    OtherIncarnation,
    /// The model, adapter or version isn't loaded.
    NotLoaded,
    /// The deadline passed while it waited.
    Expired,
    /// The request is malformed or larger than the target can ever take.
    Invalid,
}

/// A target's word that the attempt was not run and never will be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The attempt that was refused.
    pub attempt: AttemptId,
    /// Why.
    pub reason: RefusalReason,
    /// When there may be room, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Ends an attempt and frees what it holds. Idempotent; an attempt that arrives later is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The attempt.
    pub attempt: AttemptId,
}

/// Sets memory aside for a group. Sent again, it renews the hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Names the reservation.
    pub reservation: AttemptId,
    /// The daemon that owns it.
    pub owner: Incarnation,
    /// The run of the target that is meant.
    pub expect_incarnation: Incarnation,
    /// Tokens of memory.
    pub tokens: u64,
    /// How long it is held unless renewed, in ms.
    pub hold_ms: u64,
}

/// Gives a reservation back. Idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The reservation.
    pub reservation: AttemptId,
}
