//! Serves one request, from the moment at which it has been read to the end of its answer.

use {
    super::{
        answers::CallerAnswer,
        decision_line::Decision,
        entry_state::EntryState,
        forward::{ForwardNote, NOT_TAKEN, TakenForward},
        http::{Framing, Input},
        open_requests::OpenRequestGuard,
        plain_calls::serve_call,
        request_context::{ReadRequest, RequestContext, TimeLimit},
        routing::{ASSUMED_DEADLINE_MS, RETRY_AFTER_DIVISOR, RoutingRejection, route},
        stream_relay::serve_stream,
    },
    crate::clock::timeout,
    async_std::net::TcpStream,
    futures::{FutureExt, future, pin_mut, select},
    std::sync::Arc,
    whinlatch_platform::{CallerHead, read_caller_head},
    whinlatch_serving::Refusal,
};

/// An unanswered request is ended this long before its deadline, in ms, so that the error reaches the caller
/// while it still waits.
const ANSWER_MARGIN_MS: u64 = 30;
/// Bytes of pipelined requests that are buffered while one is being served.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Longest time that a request waits for a configuration, in ms: callers abandon a stream that doesn't begin
/// after twice this time at the earliest.
const MAX_CONFIGURATION_WAIT_MS: u64 = 1_000;
/// The wait for a configuration is also limited to the request's deadline divided by this.
const CONFIGURATION_WAIT_DIVISOR: u64 = 4;

/// Outcome of a request whose target's answer was passed on completely.
const ANSWERED: &str = "answered";

/// How a request ended.
#[derive(Debug)]
pub struct RequestEnd {
    /// Value of `outcome` in the log line and the metrics.
    pub outcome: &'static str,
    /// Status sent to the caller, 0 if none.
    pub status: u16,
    /// Reason; empty if a target's answer was passed on or the caller is gone.
    pub reason: String,
    /// Whether the caller's connection can serve another request.
    pub keeps_alive: bool,
    /// What ended it, if its time was over.
    pub time_limit: Option<TimeLimit>,
}

impl RequestEnd {
    /// A peer's error was passed on, for a request that was forwarded to it.
    pub fn passed_error(status: u16) -> Self {
        Self {
            outcome: if status == 503 { "refused" } else { "failed" },
            reason: "the peer that was to serve the request says so".to_owned(),
            ..Self::answered(status)
        }
    }

    /// A target's answer was passed on completely.
    pub fn answered(status: u16) -> Self {
        Self {
            outcome: ANSWERED,
            status,
            reason: String::new(),
            keeps_alive: true,
            time_limit: None,
        }
    }

    /// Returns whether a target's answer was passed on completely.
    fn is_answered(&self) -> bool {
        self.outcome == ANSWERED
    }

    /// The caller closed its connection.
    pub fn caller_gone() -> Self {
        Self {
            outcome: "caller_gone",
            keeps_alive: false,
            ..Self::answered(0)
        }
    }

    /// A stream broke after its first bytes were sent. The connection is closed without the last
    /// chunk, so that the caller doesn't take the stream as complete.
    pub fn cut(reason: String) -> Self {
        Self {
            outcome: "cut",
            keeps_alive: false,
            reason,
            ..Self::answered(200)
        }
    }

    /// Answers with an error of this system, or ends the connection if the answer has begun.
    pub async fn error(
        answer: &CallerAnswer<'_>,
        status: u16,
        message: &str,
        retry_after_ms: Option<u64>,
    ) -> Self {
        if answer.has_begun() {
            return Self::cut(message.to_owned());
        }
        match answer.write_error(status, message, retry_after_ms).await {
            Ok(()) => Self {
                outcome: if matches!(status, 503 | NOT_TAKEN) {
                    "refused"
                } else {
                    "failed"
                },
                reason: message.to_owned(),
                ..Self::answered(status)
            },
            Err(_gone) => Self::caller_gone(),
        }
    }

    /// Answers with a refusal (503), or with 502 if a target may have run the request.
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
            return Self::error(answer, 502, message, None).await;
        }
        let retry_after_ms = refusal.retry_after_ms();
        let max_ms = context.deadline.since(context.arrived) / RETRY_AFTER_DIVISOR;
        let retry_after_ms = retry_after_ms.map(|ms| ms.min(max_ms));
        state.log(&Decision::Refused {
            request: context.caller.request_id.clone(),
            route: context.route.name.clone(),
            reason: message,
            retry_after_ms,
            fingerprint: context.fingerprint_text(),
            inputs: refusal.inputs(),
        });
        Self::error(answer, 503, message, retry_after_ms).await
    }
}

/// Serves a request. Returns whether the connection can serve another one.
pub async fn exchange(
    state: &Arc<EntryState>,
    stream: &TcpStream,
    input: &mut Input,
    request: ReadRequest,
    open: &OpenRequestGuard<'_>,
    is_last: bool,
) -> bool {
    state.metrics.record_request_started();
    let arrived = request.arrived;
    let answer = CallerAnswer::with_progress(stream, is_last, open.progress());
    let (request_id, ended) = match read_caller_head(request.head.pairs()) {
        Ok(caller) => {
            open.set_id(&caller.request_id);
            (
                caller.request_id.clone(),
                route_and_serve(state, stream, input, request, caller, &answer).await,
            )
        }
        Err(fault) => (
            String::new(),
            RequestEnd::error(&answer, 400, &fault.to_string(), None).await,
        ),
    };
    let took_ms = state.now().since(arrived);
    state
        .metrics
        .record_request_ended(ended.outcome, ended.status, took_ms);
    let keeps_alive = ended.keeps_alive && !is_last;
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
        time_limit: ended.time_limit.map(TimeLimit::name),
        framing: progress.framing.map(Framing::name),
        partial_event_bytes: progress.partial_event_bytes,
    });
    keeps_alive
}

/// Waits a limited time until the instance has a configuration and targets. Returns `false` if the
/// caller disconnects meanwhile.
///
/// Guards against refusals after a restart of all instances: callers reconnect before the store has
/// been read, most of them with one retry left, which a refusal would use up.
async fn wait_for_configuration(
    state: &EntryState,
    stream: &TcpStream,
    input: &mut Input,
    deadline_ms: Option<u64>,
) -> bool {
    if state.was_ready() || state.serving().is_leaving() {
        return true;
    }
    let deadline_ms = deadline_ms.unwrap_or(ASSUMED_DEADLINE_MS);
    let wait_ms = MAX_CONFIGURATION_WAIT_MS.min(deadline_ms / CONFIGURATION_WAIT_DIVISOR);
    let waited = timeout(state.clock.as_ref(), wait_ms, state.until_ready()).fuse();
    let left = caller_gone(stream, input).fuse();
    pin_mut!(waited, left);
    select! {
        _in_time = waited => true,
        () = left => false,
    }
}

/// Routes a request and serves it.
async fn route_and_serve(
    state: &Arc<EntryState>,
    stream: &TcpStream,
    input: &mut Input,
    request: ReadRequest,
    caller: CallerHead,
    answer: &CallerAnswer<'_>,
) -> RequestEnd {
    if !wait_for_configuration(state, stream, input, caller.deadline_ms).await {
        return RequestEnd::caller_gone();
    }
    let forwarded = match ForwardNote::read(&request.head) {
        Ok(forwarded) => forwarded,
        Err(fault) => {
            let message = format!("the note of a forwarded request can't be read: {fault}");
            return RequestEnd::error(answer, 400, &message, None).await;
        }
    };
    let taken = forwarded
        .as_ref()
        .map(|note| TakenForward::take(state, note))
        .transpose();
    let _taken = match taken {
        Ok(taken) => taken,
        Err(reason) => return RequestEnd::error(answer, NOT_TAKEN, reason, None).await,
    };
    if let Some(note) = &forwarded {
        answer.continue_from(note.sends, note.runs > 0);
    }
    let context = match route(state, request, caller, forwarded) {
        Ok(context) => context,
        Err(RoutingRejection {
            status,
            message,
            retry_after_ms,
        }) => return RequestEnd::error(answer, status, &message, retry_after_ms).await,
    };
    if let Err(retry_after_ms) = admit_before_exit(state, &context) {
        let message = "this instance is leaving: use another one";
        if context.forwarded.is_some() {
            return RequestEnd::error(answer, NOT_TAKEN, message, None).await;
        }
        let max_ms = context.deadline.since(context.arrived) / RETRY_AFTER_DIVISOR;
        let retry_after_ms = Some(retry_after_ms.min(max_ms));
        return RequestEnd::error(answer, 503, message, retry_after_ms).await;
    }
    let ended = serve(state, stream, input, &context, answer).await;
    if ended.is_answered() {
        let now = state.now();
        let took_ms = now.since(context.arrived);
        state
            .serving()
            .record_answer_duration(now, &context.route.name, took_ms);
    }
    ended
}

/// Decides whether a request is served by this instance, which may be leaving.
///
/// # Errors
/// The time after which its caller finds another instance, in ms.
fn admit_before_exit(state: &EntryState, context: &RequestContext) -> Result<(), u64> {
    let now = state.now();
    state
        .serving()
        .admit_before_exit(now, &context.route.name, context.deadline)
}

/// Serves until the answer is complete, the caller disconnects or the deadline is near. In the last two
/// cases the work in flight is dropped, which closes its connection to the target.
async fn serve(
    state: &Arc<EntryState>,
    stream: &TcpStream,
    input: &mut Input,
    context: &RequestContext,
    answer: &CallerAnswer<'_>,
) -> RequestEnd {
    let work = async {
        if is_prompt_for_engines(context) {
            serve_stream(state, context, answer).await
        } else {
            serve_call(state, context, answer).await
        }
    };
    let ended = {
        let work = work.fuse();
        let gone = caller_gone(stream, input).fuse();
        let left_ms = context.deadline.since(state.now());
        let timed_out = state
            .clock
            .sleep(left_ms.saturating_sub(ANSWER_MARGIN_MS))
            .fuse();
        let exiting = until_exit_without_answer(state, answer).fuse();
        pin_mut!(work, gone, timed_out, exiting);
        select! {
            ended = work => Some(ended),
            () = gone => Some(RequestEnd::caller_gone()),
            () = timed_out => None,
            () = exiting => Some(end_for_exit(answer).await),
        }
    };
    if let Some(ended) = ended {
        return ended;
    }
    let ended = if answer.may_have_run() {
        RequestEnd::error(answer, 504, "the time for an answer is over", None).await
    } else {
        RequestEnd::error(answer, 503, "no target took the request in time", None).await
    };
    RequestEnd {
        time_limit: Some(context.time_limit),
        ..ended
    }
}

/// Completes when the process is about to exit and the answer to a request hasn't begun.
async fn until_exit_without_answer(state: &EntryState, answer: &CallerAnswer<'_>) {
    state.until_exit().await;
    if answer.has_begun() {
        future::pending::<()>().await;
    }
}

/// Tells a caller what became of its request, which the exit of the process ends.
async fn end_for_exit(answer: &CallerAnswer<'_>) -> RequestEnd {
    if answer.may_have_run() {
        let message = "the instance exits, the request may have run";
        return RequestEnd::error(answer, 502, message, None).await;
    }
    let message = "the instance exits: use another one";
    RequestEnd::error(answer, 503, message, Some(0)).await
}

/// Returns whether a stream is placed by what its prompt costs the engines.
fn is_prompt_for_engines(context: &RequestContext) -> bool {
    let is_stream = context.route.retry_policy.is_stream();
    is_stream && context.has_engines && context.caller.prompt.is_some()
}

/// Completes when the caller closes its connection. Pipelined requests are buffered in `input`.
async fn caller_gone(stream: &TcpStream, input: &mut Input) {
    loop {
        if input.as_slice().len() > MAX_PIPELINED_BYTES {
            return future::pending().await;
        }
        match input.fill(stream).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
