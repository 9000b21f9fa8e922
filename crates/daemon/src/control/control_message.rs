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

/// What reaches the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// Something happened.
    Event(Event),
    /// A caller's request was read whole.
    Submit {
        /// The request.
        submission: Box<Submission>,
        /// Where what is decided about it goes.
        instructions: Sender<Box<Instruction>>,
    },
    /// A link to a proved peer is open.
    LinkUp {
        /// Names the link within this process.
        link: LinkId,
        /// What the peer said of itself.
        hello: Hello,
        /// The side that opened it.
        opened_by: Incarnation,
        /// Where frames to the peer go; dropped to close the link.
        frames: Sender<PeerFrame>,
    },
    /// A link is closed.
    LinkDown {
        /// The link.
        link: LinkId,
        /// The peer.
        peer: Incarnation,
        /// Address of the peer.
        address: SocketAddr,
    },
    /// A frame came over a link.
    LinkFrame {
        /// The link.
        link: LinkId,
        /// The peer.
        peer: Incarnation,
        /// The frame.
        frame: Box<PeerFrame>,
    },
    /// Someone wants to know something.
    Query(Query),
}

/// Names a link within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LinkId(pub u64);

/// Reads something of the core. The answer goes to the sender.
#[derive(Debug)]
pub enum Query {
    /// The addresses that callers may use.
    Entries(Sender<Entries>),
    /// The state of the daemon.
    Status(Sender<StatusReport>),
    /// The records and where they are in force.
    Records(Sender<RecordsReport>),
    /// Why a request went where it did.
    Decisions(RequestId, Sender<Option<DecisionReport>>),
}

/// What was decided about one request of a caller.
#[derive(Debug)]
pub enum Instruction {
    /// Send an attempt to a target.
    Dispatch(Box<Dispatch>),
    /// Stop reading an attempt's answer and close its connection.
    Abandon(AttemptId),
    /// Pass the request on to the home of its ticket.
    Forward {
        /// The home's address for callers.
        to: SocketAddr,
    },
    /// Answer with what was kept of the ticket's run.
    Replay {
        /// The ticket.
        ticket: Ticket,
        /// How the run ended.
        outcome: Outcome,
    },
    /// Give the caller its final answer.
    Finish(Outcome),
}
