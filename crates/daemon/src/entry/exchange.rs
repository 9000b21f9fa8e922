//! One request from its last byte to the end of its answer.

use {
    super::{
        answers::CallerAnswer,
        answers_whole::serve_call,
        decision_line::Decision,
        entry_state::EntryState,
        http::{Input, RequestHead},
        request_context::RequestContext,
        stream_relay::serve_stream,
    },
    crate::clock::timeout,
    async_std::net::TcpStream,
    futures::{FutureExt, future, pin_mut, select},
    std::sync::Arc,
    whinlatch_core::MonoMs,
    whinlatch_platform::{CallerHead, read_caller_head},
    whinlatch_serving::{Refusal, catalog::Refused},
    xxhash_rust::xxh3::Xxh3,
};

/// Deadline of a caller that names none, in ms.
const ASSUMED_DEADLINE_MS: u64 = 30_000;
/// Time before the due moment at which a request without an answer is ended, in ms, so that the
/// caller hears of it while it still waits.
const ANSWER_MARGIN_MS: u64 = 30;
/// Bytes of further requests that are read while one is at work.
const MOST_AHEAD_BYTES: usize = 64 * 1024;
/// Share of the time left after which a refused caller may come back at the latest; callers don't
/// wait longer than a third.
const MOST_RETRY_SHARE: u64 = 3;
/// Shortest time that is told to a caller while there is no configuration, in ms.
const UNREADY_RETRY_MS: u64 = 300;
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
            weighed: refusal.weighed(),
        });
        Self::own(answer, 503, message, retry_after_ms).await
    }
}

/// A request that was read whole.
#[derive(Debug)]
pub struct ReadRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub arrived: MonoMs,
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
    let request_id = read_caller_head(request.head.pairs()).map(|head| head.request_id);
    let answer = CallerAnswer::new(stream, is_last);
    let ended = match readied(state, stream, input, request).await {
        None => Ended::caller_gone(),
        Some(request) => routed(state, stream, input, request, &answer).await,
    };
    let took_ms = state.now().since(arrived);
    state
        .metrics
        .note_ended(ended.outcome, ended.status, took_ms);
    let is_kept = ended.is_kept && !is_last;
    let progress = answer.progress();
    state.log(&Decision::Ended {
        request: request_id.unwrap_or_default(),
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

/// Waits for a moment until the instance knows what is published, unless it does. `None` if the
/// caller leaves meanwhile.
///
/// The load that this answers: all instances start anew, and callers come back before the store has
/// told what is published. Most have one try left, which a refusal would use up: 0.006 of mean worth
/// over 72 days without processor charge, and a half of the refusals where the store is away as well.
async fn readied(
    state: &EntryState,
    stream: &TcpStream,
    input: &mut Input,
    request: ReadRequest,
) -> Option<ReadRequest> {
    if state.was_ready() {
        return Some(request);
    }
    let wait_ms = UNREADY_WAIT_MS.min(deadline_ms(&request) / UNREADY_WAIT_PART);
    let waited = timeout(state.clock.as_ref(), wait_ms, state.until_ready()).fuse();
    let left = caller_gone(stream, input).fuse();
    pin_mut!(waited, left);
    select! {
        _in_time = waited => Some(request),
        () = left => None,
    }
}

fn deadline_ms(request: &ReadRequest) -> u64 {
    let caller = read_caller_head(request.head.pairs()).ok();
    let deadline_ms = caller.and_then(|caller| caller.deadline_ms);
    deadline_ms.unwrap_or(ASSUMED_DEADLINE_MS)
}

/// When a caller is to come back while there is no configuration, in ms: a store that has been away
/// for so long is likely to be away as long again, and its callers have few tries.
fn unready_retry_ms(state: &EntryState, deadline_ms: u64) -> u64 {
    let without_ms = state.now().since(state.started_at);
    let most_ms = deadline_ms / MOST_RETRY_SHARE;
    without_ms.max(UNREADY_RETRY_MS).min(most_ms)
}

async fn routed(
    state: &Arc<EntryState>,
    stream: &TcpStream,
    input: &mut Input,
    request: ReadRequest,
    answer: &CallerAnswer<'_>,
) -> Ended {
    let deadline_ms = deadline_ms(&request);
    match route(state, request) {
        Ok(context) => {
            let ended = serve(state, stream, input, &context, answer).await;
            if ended.is_success() {
                state.serving().served(context.fingerprint);
            }
            ended
        }
        Err((status, message)) => {
            let retry_ms = (status == 503).then(|| unready_retry_ms(state, deadline_ms));
            Ended::own(answer, status, &message, retry_ms).await
        }
    }
}

/// Finds route, account and service; else the status and message of the answer.
fn route(state: &Arc<EntryState>, request: ReadRequest) -> Result<RequestContext, (u16, String)> {
    let mut serving = state.serving();
    let Some(configuration) = serving.configuration().map(Arc::clone) else {
        return Err((
            503,
            "this instance has no configuration yet: come back".into(),
        ));
    };
    let ReadRequest {
        head,
        body,
        arrived,
    } = request;
    let caller = read_caller_head(head.pairs()).map_err(|fault| (400, fault.to_string()))?;
    let host = head.header("host").unwrap_or_default();
    let route = configuration.route(host, &head.target).map_err(refusal)?;
    let account = configuration
        .account(route, caller.key.as_deref())
        .map_err(refusal)?
        .map(|(name, _priority)| name.clone());
    let service = route
        .draw_service(fastrand::f64())
        .cloned()
        .ok_or((503, "the route leads to no service: come back".to_owned()))?;
    serving.arrived(state.now(), &service);
    let deadline_ms = caller.deadline_ms.unwrap_or(ASSUMED_DEADLINE_MS);
    Ok(RequestContext {
        fingerprint: fingerprint(account.as_deref(), &head, &body),
        due: arrived + deadline_ms.min(route.timeout_ms),
        route: Arc::clone(route),
        service,
        account,
        version: configuration.version,
        head,
        body,
        caller,
        arrived,
    })
}

fn refusal(refused: Refused) -> (u16, String) {
    let status = match refused {
        Refused::NoRoute => 404,
        Refused::UnknownKey => 401,
    };
    (status, refused.to_string())
}

fn fingerprint(account: Option<&str>, head: &RequestHead, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(account.unwrap_or_default().as_bytes());
    hasher.update(&[0]);
    hasher.update(head.target.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest()
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
        if context.route.repeat.is_stream() && is_prompt(&context.caller) {
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
