use {
    std::net::SocketAddr,
    whinlatch_wire::{
        ids::{
            AccountName, AdapterName, AttemptId, CallerName, Incarnation, ModelName, RequestId,
            ServiceName, TargetName, Ticket,
        },
        peer::{Hello, PeerFrame},
        platform::{InstanceList, RecordPage},
        target::{CacheEvents, EngineState, LoadReport, OrderVerdict, Refusal},
    },
};

/// Input of the core, reported by the process around it.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed. Sent about every 50 ms; a longer gap shows that the process was paused.
    Tick,
    /// The platform answered a read, or the read failed.
    Platform(PlatformEvent),
    /// A link to an authenticated peer is open.
    PeerUp {
        /// Greeting of the peer, with its identity and addresses.
        hello: Hello,
    },
    /// A frame arrived over an open link.
    PeerFrame {
        /// Peer that sent the frame.
        from: Incarnation,
        /// The frame, boxed since most events are small.
        frame: Box<PeerFrame>,
    },
    /// A link was closed, or could not be opened.
    PeerDown {
        /// Address of the link.
        address: SocketAddr,
        /// The peer; `None` if it wasn't authenticated yet.
        peer: Option<Incarnation>,
    },
    /// A caller's request was read completely.
    Submit(Box<Submission>),
    /// An attempt made progress or ended.
    Attempt {
        /// Id of the attempt, which may already have ended here.
        attempt: AttemptId,
        /// Progress or end of the attempt.
        event: AttemptEvent,
    },
    /// A request that was forwarded to the home of its ticket has ended.
    ForwardEnded {
        /// The forwarded request.
        request: RequestId,
        /// Whether the caller got an answer.
        end: ForwardEnd,
    },
    /// The caller of a request closed its connection.
    CallerGone {
        /// Request whose caller is gone.
        request: RequestId,
    },
    /// A target answered a call that isn't an attempt, or the call failed.
    Target {
        /// Target that was called.
        target: TargetName,
        /// Answer or failure of the call.
        event: TargetEvent,
    },
    /// The process was asked to stop: requests in flight are finished, new ones are refused once
    /// callers have had time to drop this daemon's address.
    Stop,
    /// The process exits shortly: requests without a final outcome end with what is known of them.
    Abort,
}

/// End of a request that was forwarded to the home of its ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardEnd {
    /// The answer of the home was passed on to the caller completely.
    Answered,
    /// The home could not be reached, or the connection broke before its answer was complete.
    Lost,
}

/// Result of a read from the platform.
#[derive(Debug, Clone)]
pub enum PlatformEvent {
    /// Records newer than the requested revision.
    Records(RecordPage),
    /// The platform no longer has the changes after the requested revision.
    HistoryGone,
    /// The list of instances.
    Instances(InstanceList),
    /// A read of records was refused or got no answer.
    RecordsFailed,
    /// A read of the list of instances was refused or got no answer.
    InstancesFailed,
}

/// A caller's request without its body, which stays with the connection.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Id of the request, drawn at random when it was read.
    pub request: RequestId,
    /// Client account that the caller names.
    pub account: AccountName,
    /// Caller within the account; `None` if the request names none.
    pub caller: Option<CallerName>,
    /// SHA-256 digest in hexadecimal of the key that the caller presents.
    pub key_sha256: String,
    /// Time within which the caller wants the complete answer, in ms from acceptance.
    pub deadline_ms: u64,
    /// Ticket of a request that must not run twice; `None` for the first send.
    pub ticket: Option<Ticket>,
    /// Key by which the caller identifies resends of one request.
    pub idempotency_key: Option<String>,
    /// Daemon that forwarded the request to the home of its ticket; `None` from a caller.
    pub forwarded_by: Option<Incarnation>,
    /// Hash of account, path and body; equal for resends of the same request.
    pub fingerprint: u64,
    /// Prompt or call to run.
    pub work: Work,
}

/// Work of a request.
#[derive(Debug, Clone)]
pub enum Work {
    /// A prompt for a model.
    Prompt {
        /// Model that is to read the prompt.
        model: ModelName,
        /// Adapter of the model; `None` for the model itself.
        adapter: Option<AdapterName>,
        /// Length of the prompt in tokens.
        prompt_tokens: u64,
        /// Maximum length of the answer in tokens.
        max_tokens: u32,
        /// Hashes of the prompt's prefixes at each complete block, shortest first.
        prefix_hashes: Vec<u64>,
    },
    /// A call to a plain service.
    Call {
        /// Service to call.
        service: ServiceName,
    },
}

/// Progress or end of an attempt.
#[derive(Debug, Clone)]
pub enum AttemptEvent {
    /// No byte was written, because the connection was refused.
    NotSent,
    /// No byte was written, because `send_before` had passed.
    Stale,
    /// The target refused the attempt without running it.
    Refused(Refusal),
    /// The first chunk of the answer arrived.
    FirstChunk,
    /// The complete answer arrived and was passed on.
    Completed,
    /// The connection broke after bytes had been written.
    Broken {
        /// Number of chunks that were passed on to the caller.
        chunks: u64,
    },
    /// No byte arrived for the configured time, nor over a new connection. The attempt goes on, and this may be
    /// reported again.
    Silent,
    /// The target answered with an error.
    Failed {
        /// HTTP status of the answer.
        status: u16,
    },
}

/// Result of a call to a target that isn't an attempt.
#[derive(Debug, Clone)]
pub enum TargetEvent {
    /// Load report of the target.
    Report(LoadReport),
    /// Changes of the target's prefix cache.
    Cache(CacheEvents),
    /// Engine state that orders change.
    State(EngineState),
    /// The engine accepted or refused an order.
    Ordered(OrderVerdict),
    /// Memory was reserved or the reservation renewed.
    Reserved(AttemptId),
    /// A reservation was refused; no memory is reserved.
    ReserveRefused(AttemptId),
    /// A reservation got no answer; memory may be reserved.
    ReserveLost(AttemptId),
    /// A read of report, state or cache events got no answer.
    Unreachable,
}
