//! One attempt to have a target serve a request: the steps that calls and streams have in common.

use {
    super::{
        answer_limits::MAX_SKIPPED_BYTES,
        decision_line::Decision,
        entry_state::EntryState,
        http::{BodyFault, Framing, ResponseHead},
        request_context::RequestContext,
        silence::{Silence, SilenceKind},
        target_connection::{TargetConnection, TargetFault},
    },
    crate::clock::timeout,
    std::{io, net::SocketAddr},
    whinlatch_core::MonoMs,
    whinlatch_platform::TargetResponse,
    whinlatch_serving::{BrokenAttempt, SOUND_EVENTS, names::SharedParts, targets::TargetEntry},
};

/// Answers to other requests that are skipped before the connection is closed.
pub const MAX_MISMATCHED_ANSWERS: usize = 2;
/// Time within which an answer to another request has to end if the request may be sent to another target, in ms.
const SKIP_TIMEOUT_MS: u64 = 1_000;

/// Reason for a failed attempt.
#[derive(Debug, thiserror::Error)]
pub enum AttemptFault {
    /// No connection could be opened, so nothing was sent.
    #[error("no connection to the target: {0}")]
    NotSent(io::Error),
    /// The target's limit is used up or it asked for a pause, so nothing was sent.
    #[error("the target takes no more requests now")]
    NotPermitted,
    /// The target began to leave after it was chosen, so nothing was sent.
    #[error("the target takes no requests any more")]
    Leaving,
    /// The target confirms that it hasn't run the request and won't.
    #[error("the target didn't run the request, status {}", .0.status)]
    NotRun(NotRun),
    /// The target answers a request for its report with an error.
    #[error("the target answers with status {0}")]
    Refused(u16),
    /// The connection broke before the answer was complete, or the answer isn't HTTP.
    #[error("{0}")]
    Broken(#[from] TargetFault),
    /// Memory that the prompt needs couldn't be reserved at a helper, so nothing was sent.
    #[error("no memory could be reserved: {0}")]
    NoMemory(String),
    /// The target is silent, and the request goes on elsewhere.
    #[error("the target is silent")]
    Silent(Silence),
    /// The engine accepted the prompt, but its reports don't show that it uses the memory reserved for it.
    #[error("the target doesn't begin to work on it")]
    Idle,
    /// The engine has restarted since the prompt was sent.
    #[error("the target has restarted")]
    Restarted,
    /// The answer is a success without a seal, so it doesn't come from the target.
    #[error("the target's answer carries no seal")]
    Unsealed,
    /// Only answers to other requests arrived.
    #[error("the target sent answers to other requests")]
    Mismatched,
}

/// Answer of a target which confirms that it hasn't run a request and won't.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    /// Status of its answer.
    pub status: u16,
    /// Whether another target than the addressed one answered.
    pub is_misdirected: bool,
    /// Address of the target that caused the refusal, such as a failed helper, if it names one.
    pub at_fault: Option<SocketAddr>,
}

/// How and when an attempt was sent.
#[derive(Debug, Clone, Copy)]
pub struct SentAttempt {
    /// Whether an earlier request was answered on its connection.
    pub was_reused: bool,
    /// When it was sent.
    pub at: MonoMs,
}

impl AttemptFault {
    /// Returns whether the target may have run the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(
            self,
            Self::NotSent(_)
                | Self::NotPermitted
                | Self::Leaving
                | Self::NotRun(_)
                | Self::NoMemory(_)
        )
    }

    /// Returns whether the attempt ended before the request was sent, so that it never arrived at a target.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::NotSent(_) | Self::NotPermitted | Self::Leaving | Self::NoMemory(_)
        )
    }

    /// Returns whether the target is unreachable: no connection could be opened, sent bytes weren't
    /// acknowledged, or it answers nothing any more.
    pub fn is_unreachable(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::Restarted => true,
            Self::Silent(silence) => silence.kind == SilenceKind::Reports,
            Self::Broken(TargetFault::Io(fault) | TargetFault::Unanswered(fault)) => {
                fault.kind() == io::ErrorKind::TimedOut
            }
            _ => false,
        }
    }

    /// Returns the silence of the target, if that is the reason.
    pub fn silence(&self) -> Option<Silence> {
        match self {
            Self::Silent(silence) => Some(*silence),
            _ => None,
        }
    }

    /// Returns what the fault shows of a connection that broke under a request; `None` if none did.
    fn broken_connection(&self) -> Option<BrokenConnection> {
        let Self::Broken(fault) = self else {
            return None;
        };
        match fault {
            TargetFault::Io(fault) if fault.kind() == io::ErrorKind::TimedOut => {
                Some(BrokenConnection::Ambiguous)
            }
            // The connection of an answer that began anew was closed here before the target could break it off.
            TargetFault::Unanswered(_) | TargetFault::BegunAnew(_) => {
                Some(BrokenConnection::Ambiguous)
            }
            TargetFault::Io(_) | TargetFault::Closed | TargetFault::InsideEvent => {
                Some(BrokenConnection::BrokenOff)
            }
            TargetFault::Body(fault) => {
                (*fault == BodyFault::Truncated).then_some(BrokenConnection::BrokenOff)
            }
            TargetFault::Head(_) | TargetFault::TooLarge(_) => None,
        }
    }

    /// Returns whether the connection itself broke, which may be due to the link of this instance.
    fn is_connection_lost(&self) -> bool {
        matches!(
            self,
            Self::Broken(TargetFault::Io(_) | TargetFault::Closed | TargetFault::Unanswered(_))
        )
    }
}

/// What the end of a connection shows of the target that was running a request on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BrokenConnection {
    /// The target broke off its work.
    BrokenOff,
    /// It may have closed an idle connection, or it can't be reached.
    Ambiguous,
}

/// Records the end of an attempt by a fault: for all instances if the request seems to have crashed its target, and for
/// this one if the connection broke. `events` is the number of events that had arrived.
pub fn record_broken_attempt(
    state: &EntryState,
    context: &RequestContext,
    target: &TargetEntry,
    fault: &AttemptFault,
    sent: SentAttempt,
    events: u64,
) {
    let none = SharedParts::default();
    let parts = if events < SOUND_EVENTS {
        &context.caller.shared_parts
    } else {
        &none
    };
    let Some(broken) = fault.broken_connection() else {
        return;
    };
    let now = state.now();
    let verdict = {
        let mut serving = state.serving();
        let verdict = serving.record_broken_attempt(
            now,
            &BrokenAttempt {
                target: &target.id,
                fingerprint: context.fingerprint,
                parts,
                sent_at: sent.at,
                is_proven: broken == BrokenConnection::BrokenOff,
            },
        );
        if fault.is_connection_lost() {
            serving.record_break(now, &target.id);
        }
        verdict
    };
    if verdict.is_final() {
        state.metrics.record_break(verdict);
    }
    state.log(&Decision::Break {
        request: context.caller.request_id.clone(),
        target: target.id.to_string(),
        fingerprint: context.fingerprint_text(),
        parts: context.part_texts(),
        reused: sent.was_reused,
        ran_ms: now.since(sent.at),
        verdict: verdict.name(),
    });
}

/// Records a complete answer, which clears the request and the parts of its prompt of having crashed targets unless only
/// the end of the connection tells that it is complete.
pub fn record_answer(
    state: &EntryState,
    context: &RequestContext,
    target: &TargetEntry,
    head: &ResponseHead,
    sent: SentAttempt,
) {
    let fingerprint = context.fingerprint;
    let now = state.now();
    let mut serving = state.serving();
    if head.framing == Framing::UntilClose {
        let parts = &context.caller.shared_parts;
        serving.record_unproven_answer(now, fingerprint, parts, &target.id, sent.at);
    } else if head.is_success() {
        serving.record_served(now, fingerprint);
        serving.record_sound_parts(now, &context.caller.shared_parts);
    }
}

/// Returns an idle connection to a target, or opens one.
///
/// # Errors
/// [`AttemptFault::NotSent`].
pub async fn connection(
    state: &EntryState,
    target: &TargetEntry,
) -> Result<TargetConnection, AttemptFault> {
    // Connections that were opened before a partition may be silent, so they aren't used during it.
    let is_out_of_reach = state.serving().is_out_of_reach(&target.service);
    if !is_out_of_reach && let Some(connection) = state.pool.take(state.now(), target.address) {
        return Ok(connection);
    }
    open_connection(state, target).await
}

/// Opens a connection to a target, and records whether it can be reached.
///
/// # Errors
/// [`AttemptFault::NotSent`].
pub async fn open_connection(
    state: &EntryState,
    target: &TargetEntry,
) -> Result<TargetConnection, AttemptFault> {
    let opened = state.pool.open(state.clock.as_ref(), target.address).await;
    let now = state.now();
    match opened {
        Ok(connection) => {
            let is_news = state.serving().record_connected(now, &target.id);
            if is_news {
                state.log_in_reach(&target.service);
            }
            Ok(connection)
        }
        Err(fault) => {
            let is_news = state.serving().record_connection_failure(now, &target.id);
            if is_news {
                state.log_out_of_reach(&target.service);
            }
            Err(AttemptFault::NotSent(fault))
        }
    }
}

/// Returns a connection for a caller's request, which is to be sent on it at once.
///
/// Guards against a request that waited for memory or for a connection and goes to a target that has left meanwhile.
///
/// # Errors
/// [`AttemptFault::NotSent`] or [`AttemptFault::Leaving`].
pub async fn request_connection(
    state: &EntryState,
    target: &TargetEntry,
) -> Result<TargetConnection, AttemptFault> {
    let connection = connection(state, target).await?;
    if !state.serving().takes_requests(&target.id) {
        return Err(AttemptFault::Leaving);
    }
    Ok(connection)
}

/// Sends the request and receives the head of its answer.
///
/// Guards against a target that answers a request or an order twice: the second answer arrives where the next
/// request's is expected. It lacks the id of this one and is skipped, within a bounded time if `may_repeat` says that
/// another target may get the request. Without any id, an answer is known to be this one's only as the first one on its
/// connection.
///
/// # Errors
/// [`AttemptFault`].
pub async fn send_request(
    state: &EntryState,
    target: &TargetEntry,
    connection: &mut TargetConnection,
    context: &RequestContext,
    bytes: &[u8],
    may_repeat: bool,
) -> Result<ResponseHead, AttemptFault> {
    let sent_at = state.now();
    connection.send(bytes).await?;
    let mut has_skipped = false;
    for _ in 0..=MAX_MISMATCHED_ANSWERS {
        let head = connection.head(&context.head.method).await?;
        state.serving().record_heard(state.now(), &target.id);
        let answer = TargetResponse::read(head.status, head.pairs());
        let is_own = match &answer.request_id {
            Some(id) => *id == context.caller.request_id,
            None => !connection.is_reused && !has_skipped,
        };
        if !is_own {
            Box::pin(skip_body(state, connection, &head, may_repeat)).await?;
            has_skipped = true;
            continue;
        }
        state.apply_notice(sent_at, &target.id, &answer.notice);
        if !answer.is_misdirected {
            state.serving().record_survived(&target.id, sent_at);
        }
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
    Err(AttemptFault::Mismatched)
}

/// Receives and discards the body of an answer to another request.
async fn skip_body(
    state: &EntryState,
    connection: &mut TargetConnection,
    head: &ResponseHead,
    may_repeat: bool,
) -> Result<(), AttemptFault> {
    if head.framing == Framing::UntilClose {
        // Nothing can follow it on this connection.
        return Err(AttemptFault::Mismatched);
    }
    let skipped = connection.complete_body(head, MAX_SKIPPED_BYTES);
    let skipped = if may_repeat {
        timeout(state.clock.as_ref(), SKIP_TIMEOUT_MS, skipped).await
    } else {
        Some(skipped.await)
    };
    skipped.ok_or(AttemptFault::Mismatched)??;
    Ok(())
}
