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

/// Action of the core, to be carried out by the process around it.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send an attempt to a target.
    Dispatch(Box<Dispatch>),
    /// Send the caller its final answer. The request has ended.
    Finish(Outcome),
    /// Forward the request to the daemon that issued its ticket, and pass that daemon's answer on to
    /// the caller.
    Forward {
        /// Request to forward.
        request: RequestId,
        /// Address of that daemon for callers.
        to: SocketAddr,
        /// Incarnation that issued the ticket. A later run at the same address doesn't know the ticket
        /// and must not answer.
        home: Incarnation,
    },
    /// Answer a request with the answer kept from the run under its ticket.
    Replay {
        /// Request to answer.
        request: RequestId,
        /// Ticket under which the answer is kept.
        ticket: Ticket,
        /// Outcome of the run, with the id of the request to answer.
        outcome: Outcome,
    },
    /// Delete the answer kept under a ticket, which has expired.
    ForgetAnswer {
        /// The expired ticket.
        ticket: Ticket,
    },
    /// Stop reading the answer of an attempt and close its connection.
    Abandon {
        /// Attempt to abandon.
        attempt: AttemptId,
    },
    /// Call a target for another purpose than an attempt.
    Call {
        /// Target to call.
        target: TargetName,
        /// Address of the target.
        address: SocketAddr,
        /// Call to send.
        call: TargetCall,
    },
    /// Send a frame over an open link.
    Send {
        /// Peer at the other end of the link.
        to: Incarnation,
        /// Frame to send.
        frame: Box<PeerFrame>,
    },
    /// Open a link.
    Link {
        /// Address at which the daemon accepts links.
        address: SocketAddr,
    },
    /// Close a link.
    Unlink {
        /// Peer at the other end of the link.
        peer: Incarnation,
    },
    /// Read records from the platform.
    ReadRecords {
        /// Only records with a newer revision are read.
        after: Revision,
        /// Time for which the platform may delay its answer until there is a change, in ms.
        wait_ms: u64,
    },
    /// Read the list of instances from the platform.
    ReadInstances,
    /// Log a decision, for operators.
    Decided(Decision),
    /// End the process: a stop was requested and no request is in flight.
    Stopped,
}

/// An attempt to send to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Id of the attempt, unique for each dispatch.
    pub attempt: AttemptId,
    /// Target that is to run the attempt.
    pub target: TargetName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Run of the target that the attempt is meant for; any other run refuses it.
    pub expect_incarnation: Incarnation,
    /// Time by which the answer must be complete.
    pub deadline: MonoMs,
    /// Time after which the attempt must not be sent, checked again when its bytes are written; then
    /// `Stale` is reported. Guards against a process that is paused between decision and write.
    pub send_before: MonoMs,
    /// Priority at the engine: 0 is most urgent, 9 least.
    pub priority: u8,
    /// Version that must be loaded; `None` if any is accepted.
    pub version: Option<u32>,
    /// Whether the attempt resumes after the chunks that the caller already has.
    pub resume: bool,
    /// Reservation at the target that the prompt uses; `None` without a group.
    pub reservation: Option<AttemptId>,
    /// Other engines of the group; empty without a group.
    pub group: Vec<GroupMember>,
    /// Ticket under which the complete answer is kept for callers that retry; `None` to keep none.
    pub keep_answer: Option<Ticket>,
}

/// A call to a target that isn't an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetCall {
    /// Read the load report.
    Report,
    /// Read changes of the prefix cache.
    CacheEvents {
        /// Number of the last event that this daemon knows.
        after: u64,
    },
    /// Read the engine state that orders change.
    State,
    /// Send an order.
    Order {
        /// Order to send.
        order: Order,
        /// Time after which it must not be sent. Guards against a paused sender that resumes late.
        send_before: MonoMs,
    },
    /// Reserve memory, or renew a reservation.
    Reserve {
        /// Reservation to request.
        reserve: ReserveRequest,
        /// Time after which it must not be sent, so that a sender that resumes late doesn't reserve
        /// memory for a request that has ended.
        send_before: MonoMs,
    },
    /// Release reserved memory.
    Release(ReleaseRequest),
    /// Cancel an attempt.
    Cancel(CancelRequest),
}
