use {
    async_channel::Sender,
    std::net::SocketAddr,
    whinlatch_core::{Dispatch, Event, Submission},
    whinlatch_wire::{
        caller::{Entries, Outcome},
        ids::{AttemptId, Incarnation, RequestId, Ticket},
        peer::{Hello, PeerFrame},
        report::{DecisionReport, RecordsReport, StatusReport},
    },
};

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// An event for the core.
    Event(Event),
    /// A caller's request has been read completely.
    Submit {
        /// The parsed request.
        submission: Box<Submission>,
        /// Receives the instructions for the request's task.
        instructions: Sender<Box<Instruction>>,
    },
    /// A link to an authenticated peer has opened.
    LinkUp {
        /// The link's id within this process.
        link: LinkId,
        /// The hello that the peer sent in the handshake.
        hello: Hello,
        /// The side that opened it.
        opened_by: Incarnation,
        /// Queue of frames to the peer; dropping it closes the link.
        frames: Sender<PeerFrame>,
    },
    /// A link has closed.
    LinkDown {
        /// The id from [`Self::LinkUp`].
        link: LinkId,
        /// The incarnation in the peer's hello.
        peer: Incarnation,
        /// The peer's address for links.
        address: SocketAddr,
    },
    /// A frame was received over a link.
    LinkFrame {
        /// The id from [`Self::LinkUp`].
        link: LinkId,
        /// The incarnation in the peer's hello.
        peer: Incarnation,
        /// The decoded frame.
        frame: Box<PeerFrame>,
    },
    /// A read of the core's state.
    Query(Query),
}

/// Id of a link, unique within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LinkId(pub u64);

/// A read of the core's state; the result is sent to the variant's sender.
#[derive(Debug)]
pub enum Query {
    /// The addresses that callers may use.
    Entries(Sender<Entries>),
    /// The state of the daemon.
    Status(Sender<StatusReport>),
    /// The records and the daemons on which each is in force.
    Records(Sender<RecordsReport>),
    /// The routing decisions of a request; `None` if they are no longer kept.
    Decisions(RequestId, Sender<Option<DecisionReport>>),
}

/// An instruction of the control thread to the task of one request.
#[derive(Debug)]
pub enum Instruction {
    /// Send an attempt to a target.
    Dispatch(Box<Dispatch>),
    /// Stop reading an attempt's answer and close its connection.
    Abandon(AttemptId),
    /// Forward the request to the home of its ticket.
    Forward {
        /// The home's address for callers.
        to: SocketAddr,
    },
    /// Answer with the stored result of the ticket's run.
    Replay {
        /// The ticket under which the answer is stored.
        ticket: Ticket,
        /// How the run ended.
        outcome: Outcome,
    },
    /// Give the caller its final answer.
    Finish(Outcome),
}
