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

/// Instructions queued for the task of one request. A request has few attempts, each with a
/// dispatch and an end, so the queue is never full while its task runs. Instructions are boxed
/// because a bounded channel allocates all its slots when it is created.
const INSTRUCTION_QUEUE_LEN: usize = 64;

/// The control thread has stopped and answers no more queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("this daemon is ending: use another entry")]
pub struct ControlStopped;

/// Sends messages to the control thread; cloned by every task that needs it.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    inbox: Sender<ControlMessage>,
}

impl ControlHandle {
    /// Creates a handle that sends to `inbox`.
    pub fn new(inbox: Sender<ControlMessage>) -> Self {
        Self { inbox }
    }

    /// Sends a message, waiting while the inbox is full. After the control thread has stopped,
    /// messages are dropped: there is nothing left to do for them.
    pub async fn send(&self, message: ControlMessage) {
        let _stopped = self.inbox.send(message).await;
    }

    /// Closes the inbox; the control thread ends once it has drained it.
    pub fn close(&self) {
        self.inbox.close();
    }

    /// Reports the progress or end of an attempt.
    pub async fn report_attempt(&self, attempt: AttemptId, event: AttemptEvent) {
        let event = Event::Attempt { attempt, event };
        self.send(ControlMessage::Event(event)).await;
    }

    /// Reports a target's answer to a [`whinlatch_core::TargetCall`].
    pub async fn report_target(&self, target: TargetName, event: TargetEvent) {
        let event = Event::Target { target, event };
        self.send(ControlMessage::Event(event)).await;
    }

    /// Reports the result of a read of the platform.
    pub async fn report_platform(&self, event: PlatformEvent) {
        self.send(ControlMessage::Event(Event::Platform(event)))
            .await;
    }

    /// Reports whether the home of a request's ticket answered the forwarded request.
    pub async fn report_forward_end(&self, request: RequestId, end: ForwardEnd) {
        let event = Event::ForwardEnded { request, end };
        self.send(ControlMessage::Event(event)).await;
    }

    /// Reports that a caller disconnected before its answer was complete.
    pub async fn report_caller_gone(&self, request: RequestId) {
        self.send(ControlMessage::Event(Event::CallerGone { request }))
            .await;
    }

    /// Submits a request and returns the channel on which its instructions arrive.
    pub async fn submit(&self, submission: Submission) -> Receiver<Box<Instruction>> {
        let (instructions, received) = async_channel::bounded(INSTRUCTION_QUEUE_LEN);
        self.send(ControlMessage::Submit {
            submission: Box::new(submission),
            instructions,
        })
        .await;
        received
    }

    /// Returns the addresses that callers may use.
    ///
    /// # Errors
    /// [`ControlStopped`] if the daemon is shutting down.
    pub async fn entries(&self) -> Result<Entries, ControlStopped> {
        self.query(Query::Entries).await
    }

    /// Returns the state of the daemon.
    ///
    /// # Errors
    /// [`ControlStopped`] if the daemon is shutting down.
    pub async fn status(&self) -> Result<StatusReport, ControlStopped> {
        self.query(Query::Status).await
    }

    /// Returns the records and the daemons on which each is in force.
    ///
    /// # Errors
    /// [`ControlStopped`] if the daemon is shutting down.
    pub async fn records(&self) -> Result<RecordsReport, ControlStopped> {
        self.query(Query::Records).await
    }

    /// Returns the routing decisions of a request; `None` if they are no longer kept.
    ///
    /// # Errors
    /// [`ControlStopped`] if the daemon is shutting down.
    pub async fn decisions(
        &self,
        request: RequestId,
    ) -> Result<Option<DecisionReport>, ControlStopped> {
        self.query(|reply| Query::Decisions(request, reply)).await
    }

    async fn query<T>(&self, query: impl FnOnce(Sender<T>) -> Query) -> Result<T, ControlStopped> {
        let (reply, answer) = async_channel::bounded(1);
        self.send(ControlMessage::Query(query(reply))).await;
        answer.recv().await.map_err(|_closed| ControlStopped)
    }
}
