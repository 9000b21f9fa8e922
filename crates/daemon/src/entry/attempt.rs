//! One attempt at a target, as far as calls and streams have it in common.

use {
    super::{
        entry_state::EntryState,
        http::ResponseHead,
        request_context::RequestContext,
        target_connection::{TargetConnection, TargetFault},
    },
    std::{io, net::SocketAddr},
    whinlatch_platform::TargetResponse,
    whinlatch_serving::targets::TargetEntry,
};

/// Answers to other requests that are passed over before the connection is given up.
const MOST_FOREIGN_ANSWERS: usize = 2;

/// How an attempt came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum AttemptFault {
    /// No connection could be had, so nothing was sent.
    #[error("no connection to the target: {0}")]
    NotSent(io::Error),
    /// The target takes nothing now, so nothing was sent.
    #[error("the target takes no more requests now")]
    NotPermitted,
    /// The target says that it hasn't run the request and won't.
    #[error("the target didn't take it, status {}", .0.status)]
    NotRun(NotRun),
    /// The target answers a question about itself with a failure.
    #[error("the target answers with status {0}")]
    Refused(u16),
    /// The connection broke before anything came back.
    #[error("{0}")]
    Broken(#[from] TargetFault),
    /// Memory that the prompt needs could not be set aside, so nothing was sent.
    #[error("no memory could be set aside: {0}")]
    NoMemory(String),
    /// Nothing came for longer than a sound target needs.
    #[error("the target is silent")]
    Silent,
    /// The target takes requests and works on none.
    #[error("the target doesn't begin to work on it")]
    Idle,
    /// The answer is a success without a seal, so it isn't the target's.
    #[error("the target's answer bears no seal")]
    Unsealed,
    /// What came is no event stream's beginning.
    #[error("answers to other requests came")]
    Foreign,
}

/// What a target says that hasn't run a request and won't.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    /// Status of its answer.
    pub status: u16,
    /// Whether it isn't the target that was meant.
    pub is_misdirected: bool,
    /// Address of the target for whose sake it didn't, if it names one.
    pub at_fault: Option<SocketAddr>,
}

impl AttemptFault {
    /// Whether the target may have run the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(
            self,
            Self::NotSent(_) | Self::NotPermitted | Self::NotRun(_) | Self::NoMemory(_)
        )
    }

    /// Whether the target can't be reached: no connection could be had, or nothing of what was sent
    /// was acknowledged.
    pub fn is_unreachable(&self) -> bool {
        match self {
            Self::NotSent(_) => true,
            Self::Broken(TargetFault::Io(fault)) => fault.kind() == io::ErrorKind::TimedOut,
            _ => false,
        }
    }

    /// Whether it looks as if the request had crashed the target. On a connection that was used
    /// before, a break tells no more than that the target had closed it.
    fn is_crash(&self, was_reused: bool) -> bool {
        match self {
            Self::Broken(TargetFault::Io(_) | TargetFault::Closed) => !was_reused,
            Self::Broken(TargetFault::Body(fault)) => *fault == super::http::BodyFault::CutOff,
            _ => false,
        }
    }
}

/// Tells all instances of a request whose target broke off the work.
pub fn note_crash(
    state: &EntryState,
    context: &RequestContext,
    target: &TargetEntry,
    fault: &AttemptFault,
    was_reused: bool,
) {
    if fault.is_crash(was_reused) {
        let now = state.now();
        let mut serving = state.serving();
        serving.record_crash(now, context.fingerprint, &target.id);
    }
}

/// A connection on which the request may be sent.
///
/// # Errors
/// [`AttemptFault::NotSent`].
pub async fn connection(
    state: &EntryState,
    target: &TargetEntry,
) -> Result<TargetConnection, AttemptFault> {
    if let Some(connection) = state.pool.take(state.now(), target.address) {
        return Ok(connection);
    }
    state
        .pool
        .open(state.clock.as_ref(), target.address)
        .await
        .map_err(AttemptFault::NotSent)
}

/// Sends the request and receives the head of its answer.
///
/// Guards against a target that answers twice: the second answer comes where the next one is
/// expected, and is told by its id.
///
/// # Errors
/// [`AttemptFault`].
pub async fn ask(
    state: &EntryState,
    target: &TargetEntry,
    connection: &mut TargetConnection,
    context: &RequestContext,
    bytes: &[u8],
) -> Result<ResponseHead, AttemptFault> {
    let sent_at = state.now();
    connection.send(bytes).await?;
    for _ in 0..=MOST_FOREIGN_ANSWERS {
        let head = connection.head(&context.head.method).await?;
        let answer = TargetResponse::read(head.status, head.pairs());
        let is_foreign = answer
            .request_id
            .is_some_and(|id| id != context.caller.request_id);
        if is_foreign {
            connection.whole_body(&head).await?;
            continue;
        }
        state.note_answer(sent_at, &target.id, &answer.notice);
        if answer.is_not_run {
            return Err(AttemptFault::NotRun(NotRun {
                status: head.status,
                is_misdirected: answer.is_misdirected,
                at_fault: answer.at_fault,
            }));
        }
        if head.is_success() && !answer.is_sealed {
            return Err(AttemptFault::Unsealed);
        }
        return Ok(head);
    }
    Err(AttemptFault::Foreign)
}
