use {
    crate::{decisions::Decision, time::MonoMs},
    std::net::SocketAddr,
    whinlatch_wire::{
        caller::Outcome,
        ids::{AttemptId, Incarnation, RequestId, Revision, TargetName, Ticket},
        peer::PeerFrame,
        target::{CancelRequest, GroupMember, Order, ReleaseRequest, ReserveRequest},
    },
};

/// What the process around the core is to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send an attempt to a target.
    Dispatch(Box<Dispatch>),
    /// Give the caller its final answer. The request is over.
    Finish(Outcome),
    /// Pass the request on to the home of its ticket and its answer back.
    Forward {
        /// The request.
        request: RequestId,
        /// The home's address for callers.
        to: SocketAddr,
        /// The home.
        home: Incarnation,
    },
    /// Answer with what was kept of the ticket's run.
    Replay {
        /// The request that asks again.
        request: RequestId,
        /// The ticket.
        ticket: Ticket,
        /// How the run ended.
        outcome: Outcome,
    },
    /// Forget the kept answer of a ticket.
    ForgetAnswer {
        /// The ticket.
        ticket: Ticket,
    },
    /// Stop reading an attempt's answer and close its connection.
    Abandon {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Call a target on a matter of its own.
    Call {
        /// The target.
        target: TargetName,
        /// Its address.
        address: SocketAddr,
        /// The call.
        call: TargetCall,
    },
    /// Send a frame over an open link.
    Send {
        /// The peer.
        to: Incarnation,
        /// The frame.
        frame: Box<PeerFrame>,
    },
    /// Open a link.
    Link {
        /// The peer's address for peers.
        address: SocketAddr,
    },
    /// Close a link.
    Unlink {
        /// The peer.
        peer: Incarnation,
    },
    /// Read records from the platform.
    ReadRecords {
        /// Only what changed after this.
        after: Revision,
        /// Wait this long for news, in ms.
        wait_ms: u64,
    },
    /// Read the list of instances from the platform.
    ReadInstances,
    /// A decision, for the log.
    Decided(Decision),
    /// Nothing is in flight any more and the daemon may end.
    Stopped,
}

/// An attempt to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The target.
    pub target: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// The run of the target that is meant.
    pub expect_incarnation: Incarnation,
    /// When the answer must be whole.
    pub deadline: MonoMs,
    /// Checked again where the bytes are written: after this moment nothing is sent and
    /// `NotSent` is reported. Guards against a process that was paused between decision and write.
    pub send_before: MonoMs,
    /// 0 is most urgent, 9 least.
    pub priority: u8,
    /// Version that must be loaded, if the route states one.
    pub version: Option<u32>,
    /// Whether chunks that the caller has are to be skipped by resuming after them.
    pub resume: bool,
    /// Reservation at the target that the prompt uses.
    pub reservation: Option<AttemptId>,
    /// The other engines of the group.
    pub group: Vec<GroupMember>,
    /// Keep the whole answer under this ticket for callers that ask again.
    pub keep_answer: Option<Ticket>,
}

/// A call to a target that isn't an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetCall {
    /// Read its load.
    Report,
    /// Read changes of its prefix cache.
    CacheEvents {
        /// Last event known.
        after: u64,
    },
    /// Read the state that orders change.
    State,
    /// Give an order, unless the moment has passed.
    Order {
        /// The order.
        order: Order,
        /// Not sent after this moment. Guards against a paused sender that wakes late.
        send_before: MonoMs,
    },
    /// Set memory aside.
    Reserve {
        /// The reservation.
        reserve: ReserveRequest,
        /// Not sent after this moment.
        send_before: MonoMs,
    },
    /// Give memory back.
    Release(ReleaseRequest),
    /// Cancel an attempt.
    Cancel(CancelRequest),
}
