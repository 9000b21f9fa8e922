use {
    super::{ControlMessage, Instruction, Query},
    async_channel::{Receiver, Sender},
    thiserror::Error,
    whinlatch_core::{AttemptEvent, Event, ForwardEnd, PlatformEvent, Submission, TargetEvent},
    whinlatch_wire::{
        caller::Entries,
        ids::{AttemptId, RequestId, TargetName},
        report::{DecisionReport, RecordsReport, StatusReport},
    },
};

/// Instructions of one request that may wait to be carried out. A request has few attempts, each
/// with a dispatch and an end, so that this is never full while its task lives. They are boxed,
/// since a channel holds the memory for all that may wait from its start.
const WAITING_INSTRUCTIONS: usize = 64;

/// The control thread has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("this daemon is ending: use another entry")]
pub struct ControlGone;

/// The way to the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    inbox: Sender<ControlMessage>,
}

impl ControlHandle {
    /// A handle that sends to `inbox`.
    pub fn new(inbox: Sender<ControlMessage>) -> Self {
        Self { inbox }
    }

    /// Sends a message, waiting while the thread is behind. Nothing is left to do for a message
    /// to a thread that has ended, so it is dropped then.
    pub async fn send(&self, message: ControlMessage) {
        let _ended = self.inbox.send(message).await;
    }

    /// Ends the control thread: nothing more reaches it.
    pub fn close(&self) {
        self.inbox.close();
    }

    /// Reports what became of an attempt.
    pub async fn attempt(&self, attempt: AttemptId, event: AttemptEvent) {
        let event = Event::Attempt { attempt, event };
        self.send(ControlMessage::Event(event)).await;
    }

    /// Reports what a target answered.
    pub async fn target(&self, target: TargetName, event: TargetEvent) {
        let event = Event::Target { target, event };
        self.send(ControlMessage::Event(event)).await;
    }

    /// Reports what the platform answered.
    pub async fn platform(&self, event: PlatformEvent) {
        self.send(ControlMessage::Event(Event::Platform(event)))
            .await;
    }

    /// Reports how the home of a request's ticket answered.
    pub async fn forward_ended(&self, request: RequestId, end: ForwardEnd) {
        let event = Event::ForwardEnded { request, end };
        self.send(ControlMessage::Event(event)).await;
    }

    /// Reports that a caller went away.
    pub async fn caller_gone(&self, request: RequestId) {
        self.send(ControlMessage::Event(Event::CallerGone { request }))
            .await;
    }

    /// Submits a request. What is decided about it comes from the receiver.
    pub async fn submit(&self, submission: Submission) -> Receiver<Box<Instruction>> {
        let (instructions, decided) = async_channel::bounded(WAITING_INSTRUCTIONS);
        self.send(ControlMessage::Submit {
            submission: Box::new(submission),
            instructions,
        })
        .await;
        decided
    }

    /// The addresses that callers may use.
    ///
    /// # Errors
    /// [`ControlGone`] if the daemon is ending.
    pub async fn entries(&self) -> Result<Entries, ControlGone> {
        self.query(Query::Entries).await
    }

    /// The state of the daemon.
    ///
    /// # Errors
    /// [`ControlGone`] if the daemon is ending.
    pub async fn status(&self) -> Result<StatusReport, ControlGone> {
        self.query(Query::Status).await
    }

    /// The records and where they are in force.
    ///
    /// # Errors
    /// [`ControlGone`] if the daemon is ending.
    pub async fn records(&self) -> Result<RecordsReport, ControlGone> {
        self.query(Query::Records).await
    }

    /// Why a request went where it did.
    ///
    /// # Errors
    /// [`ControlGone`] if the daemon is ending.
    pub async fn decisions(
        &self,
        request: RequestId,
    ) -> Result<Option<DecisionReport>, ControlGone> {
        self.query(|reply| Query::Decisions(request, reply)).await
    }

    async fn query<T>(&self, query: impl FnOnce(Sender<T>) -> Query) -> Result<T, ControlGone> {
        let (reply, answer) = async_channel::bounded(1);
        self.send(ControlMessage::Query(query(reply))).await;
        answer.recv().await.map_err(|_closed| ControlGone)
    }
}
