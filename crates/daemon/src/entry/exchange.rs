//! One request from its last byte to the end of its answer.

use {
    super::{
        answers::CallerAnswer,
        answers_whole::serve_call,
        decision_line::Decision,
        entry_state::EntryState,
        http::Input,
        request_context::{ReadRequest, RequestContext},
        routing::{ASSUMED_DEADLINE_MS, MOST_RETRY_SHARE, Unrouted, route},
        stream_relay::serve_stream,
    },
    crate::clock::timeout,
    async_std::net::TcpStream,
    futures::{FutureExt, future, pin_mut, select},
    std::sync::Arc,
    whinlatch_platform::{CallerHead, read_caller_head},
    whinlatch_serving::Refusal,
};

/// Time before the due moment at which a request without an answer is ended, in ms, so that the
/// caller hears of it while it still waits.
const ANSWER_MARGIN_MS: u64 = 30;
/// Bytes of further requests that are read while one is at work.
const MOST_AHEAD_BYTES: usize = 64 * 1024;
/// Time for which a request waits for a configuration at most, in ms: half of the shortest time after
/// which callers leave a stream that doesn't begin.
const UNREADY_WAIT_MS: u64 = 1_000;
/// Part of a caller's time for which its request waits for a configuration at most.
const UNREADY_WAIT_PART: u64 = 4;

/// How a request ended.
#[derive(Debug)]
pub struct Ended {
    /// How, in a word.
    pub outcome: &'static str,
    /// Status that the caller got, 0 if none.
    pub status: u16,
    /// Why, where it wasn't answered by a target.
    pub reason: String,
    /// Whether the connection may carry another request.
    pub is_kept: bool,
}

impl Ended {
    /// A target's answer was passed on whole.
    pub fn answered(status: u16) -> Self {
        Self {
            outcome: "answered",
            status,
            reason: String::new(),
            is_kept: true,
        }
    }

    /// Whether a target's success was passed on whole.
    fn is_success(&self) -> bool {
        self.outcome == "answered" && self.status < 300
    }

    /// The caller closed its connection.
    pub fn caller_gone() -> Self {
        Self {
            outcome: "caller_gone",
            is_kept: false,
            ..Self::answered(0)
        }
    }

    /// A stream that was begun could not be brought to its end; the connection is closed, so that
    /// it doesn't look whole.
    pub fn cut(reason: String) -> Self {
        Self {
            outcome: "cut",
            is_kept: false,
            reason,
            ..Self::answered(200)
        }
    }

    /// Gives a failure of this system's own.
    pub async fn own(
        answer: &CallerAnswer<'_>,
        status: u16,
        message: &str,
        retry_after_ms: Option<u64>,
    ) -> Self {
        if answer.has_begun() {
            return Self::cut(message.to_owned());
        }
        match answer.own(status, message, retry_after_ms).await {
            Ok(()) => Self {
                outcome: if status == 503 { "refused" } else { "failed" },
                reason: message.to_owned(),
                ..Self::answered(status)
            },
            Err(_gone) => Self::caller_gone(),
        }
    }

    /// Gives a refusal, or a failure if a target may have run the request.
    pub async fn refused(
        state: &EntryState,
        answer: &CallerAnswer<'_>,
        context: &RequestContext,
        refusal: Refusal,
    ) -> Self {
        let message = refusal.message();
        if answer.may_have_run() {
            let message =
                "an attempt failed, the request may have run, and no other target takes it";
            return Self::own(answer, 502, message, None).await;
        }
        let retry_after_ms = refusal.retry_after_ms();
        let most_ms = context.due.since(context.arrived) / MOST_RETRY_SHARE;
        let retry_after_ms = retry_after_ms.map(|ms| ms.min(most_ms));
        state.log(&Decision::Refused {
            request: context.caller.request_id.clone(),
            route: context.route.name.clone(),
            reason: message,
            retry_after_ms,
            fingerprint: context.fingerprint_text(),
            weighed: refusal.inputs(),
        });
        Self::own(answer, 503, message, retry_after_ms).await
    }
}

/// Serves a request. Returns whether the connection may carry another one.
pub async fn exchange(
    state: &Arc<EntryState>,
    stream: &TcpStream,
    input: &mut Input,
    request: ReadRequest,
    is_last: bool,
) -> bool {
    state.metrics.note_opened();
    let arrived = request.arrived;
    let answer = CallerAnswer::new(stream, is_last);
    let (request_id, ended) = match read_caller_head(request.head.pairs()) {
        Ok(caller) => (
            caller.request_id.clone(),
            attend(state, stream, input, request, caller, &answer).await,
        ),
        Err(fault) => (
            String::new(),
            Ended::own(&answer, 400, &fault.to_string(), None).await,
        ),
    };
    let took_ms = state.now().since(arrived);
    state
        .metrics
        .note_ended(ended.outcome, ended.status, took_ms);
    let is_kept = ended.is_kept && !is_last;
    let progress = answer.progress();
    state.log(&Decision::Ended {
        request: request_id,
        outcome: ended.outcome,
        status: ended.status,
        reason: ended.reason,
        took_ms,
        first_event_ms: progress.first_event_ms,
        longest_pause_ms: progress.longest_pause_ms,
        sends: progress.sends,
    });
    is_kept
}

/// Waits for a moment until the instance knows what is published, unless it does. Returns whether the
/// caller is still there.
///
/// The load that this answers: all instances start anew, and callers come back before the store has
/// told what is published. Most have one try left, which a refusal would use up.
async fn readied(
    state: &EntryState,
    stream: &TcpStream,
    input: &mut Input,
    deadline_ms: Option<u64>,
) -> bool {
    if state.was_ready() {
        return true;
    }
    let deadline_ms = deadline_ms.unwrap_or(ASSUMED_DEADLINE_MS);
    let wait_ms = UNREADY_WAIT_MS.min(deadline_ms / UNREADY_WAIT_PART);
    let waited = timeout(state.clock.as_ref(), wait_ms, state.until_ready()).fuse();
    let left = caller_gone(stream, input).fuse();
    pin_mut!(waited, left);
    select! {
        _in_time = waited => true,
        () = left => false,
    }
}

/// Finds out where a request goes and serves it.
async fn attend(
    state: &Arc<EntryState>,
    stream: &TcpStream,
    input: &mut Input,
    request: ReadRequest,
    caller: CallerHead,
    answer: &CallerAnswer<'_>,
) -> Ended {
    if !readied(state, stream, input, caller.deadline_ms).await {
        return Ended::caller_gone();
    }
    let context = match route(state, request, caller) {
        Ok(context) => context,
        Err(Unrouted {
            status,
            message,
            retry_after_ms,
        }) => return Ended::own(answer, status, &message, retry_after_ms).await,
    };
    let ended = serve(state, stream, input, &context, answer).await;
    if ended.is_success() {
        state.serving().record_served(context.fingerprint);
    }
    ended
}

/// Serves until the answer is whole, the caller is gone or the time is over. What is at work for
/// the request then is dropped, which closes its connection to the target.
async fn serve(
    state: &Arc<EntryState>,
    stream: &TcpStream,
    input: &mut Input,
    context: &RequestContext,
    answer: &CallerAnswer<'_>,
) -> Ended {
    let work = async {
        if context.route.retry_policy.is_stream() && is_prompt(&context.caller) {
            serve_stream(state, context, answer).await
        } else {
            serve_call(state, context, answer).await
        }
    };
    let ended = {
        let work = work.fuse();
        let gone = caller_gone(stream, input).fuse();
        let due_ms = context.due.since(state.now());
        let due = state
            .clock
            .sleep(due_ms.saturating_sub(ANSWER_MARGIN_MS))
            .fuse();
        pin_mut!(work, gone, due);
        select! {
            ended = work => Some(ended),
            () = gone => Some(Ended::caller_gone()),
            () = due => None,
        }
    };
    match ended {
        Some(ended) => ended,
        None if answer.may_have_run() => {
            Ended::own(answer, 504, "the time for an answer is over", None).await
        }
        None => Ended::own(answer, 503, "no target took the request in time", None).await,
    }
}

fn is_prompt(caller: &CallerHead) -> bool {
    caller.prompt.is_some()
}

/// Ends when the caller closes its connection. Requests that it sends ahead are kept.
async fn caller_gone(stream: &TcpStream, input: &mut Input) {
    loop {
        if input.as_slice().len() > MOST_AHEAD_BYTES {
            return future::pending().await;
        }
        match input.fill(stream).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
