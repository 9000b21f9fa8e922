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

/// What happened around the core.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time went on. Sent every 50 ms or so; a longer gap shows that the process was paused.
    Tick,
    /// The platform answered or failed to.
    Platform(PlatformEvent),
    /// A link to a peer that proved itself is open.
    PeerUp {
        /// What the peer said of itself.
        hello: Hello,
    },
    /// A frame came over an open link.
    PeerFrame {
        /// The peer.
        from: Incarnation,
        /// The frame, boxed since most events are small.
        frame: Box<PeerFrame>,
    },
    /// A link is closed, or could not be opened.
    PeerDown {
        /// Address that was linked.
        address: SocketAddr,
        /// The peer, if it had proved itself.
        peer: Option<Incarnation>,
    },
    /// A caller's request was read whole.
    Submit(Box<Submission>),
    /// Something became of an attempt.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        event: AttemptEvent,
    },
    /// A request that was passed on to its ticket's home is over.
    ForwardEnded {
        /// The request.
        request: RequestId,
        /// How it ended.
        end: ForwardEnd,
    },
    /// The caller of a request closed its connection.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// A target answered a call that isn't an attempt, or failed to.
    Target {
        /// The target.
        target: TargetName,
        /// What it answered.
        event: TargetEvent,
    },
    /// The process was told to stop: finish what is in flight, take nothing new.
    Stop,
}

/// What became of a request that was passed on to its ticket's home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardEnd {
    /// The home's answer was passed back whole.
    Answered,
    /// The home could not be reached, or its answer broke off.
    Lost,
}

/// An answer of the platform.
#[derive(Debug, Clone)]
pub enum PlatformEvent {
    /// Records after the revision that was asked for.
    Records(RecordPage),
    /// The history that was asked for is gone.
    HistoryGone,
    /// The list of instances.
    Instances(InstanceList),
    /// A read of records was not answered, or refused.
    RecordsFailed,
    /// A read of the list was not answered, or refused.
    InstancesFailed,
}

/// A caller's request without its body, which stays with the connection.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Drawn at random when the request was read.
    pub request: RequestId,
    /// Client account that the caller names.
    pub account: AccountName,
    /// Caller within the account, if named.
    pub caller: Option<CallerName>,
    /// SHA-256 digest in hexadecimal of the key that the caller presents.
    pub key_sha256: String,
    /// Time that the caller gives, in ms from now.
    pub deadline_ms: u64,
    /// Ticket of a non-repeatable request.
    pub ticket: Option<Ticket>,
    /// The caller's key for repeats of one request.
    pub idempotency_key: Option<String>,
    /// Daemon that passed the request on to its ticket's home.
    pub forwarded_by: Option<Incarnation>,
    /// Hash of account, path and body; the same for the same request sent again.
    pub fingerprint: u64,
    /// What is asked for.
    pub work: Work,
}

/// What a request asks for.
#[derive(Debug, Clone)]
pub enum Work {
    /// A prompt for a model.
    Prompt {
        /// The model.
        model: ModelName,
        /// The adapter, if any.
        adapter: Option<AdapterName>,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Most tokens of the answer.
        max_tokens: u32,
        /// Hashes of the prompt's prefixes at each whole block, shortest first.
        prefix_hashes: Vec<u64>,
    },
    /// A call of a plain service.
    Call {
        /// The service.
        service: ServiceName,
    },
}

/// What became of an attempt.
#[derive(Debug, Clone)]
pub enum AttemptEvent {
    /// Not one byte was written: the connection was refused or the dispatch had gone stale.
    NotSent,
    /// The target says that it did not run the attempt.
    Refused(Refusal),
    /// The first chunk of the answer came.
    FirstChunk,
    /// The whole answer came and was passed on.
    Completed,
    /// The connection broke after something was written. `chunks` were passed on so far.
    Broken {
        /// Chunks that the caller has.
        chunks: u64,
    },
    /// Nothing came for the time that the settings allow, nor over a new connection.
    Silent {
        /// Chunks that the caller has.
        chunks: u64,
    },
    /// The target answered with a failure of its own.
    Failed {
        /// Its HTTP status.
        status: u16,
    },
}

/// A target's answer to a call that isn't an attempt.
#[derive(Debug, Clone)]
pub enum TargetEvent {
    /// Its load.
    Report(LoadReport),
    /// Changes of its prefix cache.
    Cache(CacheEvents),
    /// The state that orders change.
    State(EngineState),
    /// What became of an order.
    Ordered(OrderVerdict),
    /// Memory was set aside.
    Reserved(AttemptId),
    /// Memory was not set aside; nothing is held.
    ReserveRefused(AttemptId),
    /// A reservation got no answer; it may be held.
    ReserveLost(AttemptId),
    /// A report, state or cache read got no answer.
    Unreachable,
}
