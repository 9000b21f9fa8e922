//! Reads requests from callers' connections one after the other, each completely before it is served.

use {
    super::{
        accept::accept_all,
        answers::CallerAnswer,
        entry_state::EntryState,
        exchange::exchange,
        forward::ForwardNote,
        http::{
            BodyDecoder, BodyFault, BodyProgress, Framing, HeadFault, Input, RequestHead,
            find_head_end,
        },
        request_context::ReadRequest,
        routing::ASSUMED_DEADLINE_MS,
    },
    crate::{clock::timeout, targets::set_options},
    async_std::net::{TcpListener, TcpStream},
    futures::{
        AsyncWriteExt,
        future::{Either, select},
        pin_mut,
    },
    std::{sync::Arc, time::Duration},
    thiserror::Error,
    whinlatch_core::MonoMs,
    whinlatch_platform::read_deadline_ms,
    whinlatch_serving::catalog::Limits,
};

/// Time that sent bytes may stay unacknowledged before the connection is taken as broken.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for the next bytes of a body, in ms. It is ample, since bodies are small for the callers' bandwidth.
const BODY_PAUSE_TIMEOUT_MS: u64 = 5_000;

/// Reason why a request couldn't be read.
#[derive(Debug, Error)]
enum ReadFault {
    /// The caller closed the connection.
    #[error("the connection is closed")]
    Closed,
    #[error("the request came too slowly: send it at once")]
    Slow,
    #[error("the body is too large: send less")]
    BodyTooLarge,
    /// The instance leaves before it has read the request.
    #[error("the instance exits: use another one")]
    Leaving,
    #[error("{0}")]
    Head(#[from] HeadFault),
    #[error("{0}")]
    Body(#[from] BodyFault),
}

impl ReadFault {
    fn status(&self) -> Option<u16> {
        match self {
            Self::Closed | Self::Body(BodyFault::Truncated) => None,
            Self::Slow => Some(408),
            Self::BodyTooLarge => Some(413),
            Self::Leaving => Some(503),
            Self::Head(HeadFault::TooLarge) => Some(431),
            Self::Head(HeadFault::Coding) => Some(501),
            Self::Head(HeadFault::Malformed(_)) | Self::Body(BodyFault::Malformed(_)) => Some(400),
        }
    }

    /// Time after which another attempt is worthwhile, in ms.
    fn retry_after_ms(&self) -> Option<u64> {
        matches!(self, Self::Leaving).then_some(0)
    }
}

/// Accepts callers' connections.
///
/// Stops when callers' connections close, which closes the listener.
pub async fn serve_callers(state: Arc<EntryState>, listener: TcpListener) {
    let closed = state.until_connections_close();
    let accepted = accept_all(Arc::clone(&state), listener, "callers", serve_caller);
    pin_mut!(accepted, closed);
    select(accepted, closed).await;
}

async fn serve_caller(state: Arc<EntryState>, stream: TcpStream) {
    if set_options(&stream, UNACKNOWLEDGED_TIMEOUT).is_err() {
        return;
    }
    let _connection = state.open_requests.begin_connection();
    let mut input = Input::default();
    let mut is_used = false;
    while wait_for_first_byte(&state, &stream, &mut input, is_used).await {
        let arrived = state.now();
        let open = state.open_requests.begin(arrived);
        let request = match read_unless_closing(&state, &stream, &mut input, arrived).await {
            Ok(request) => request,
            Err(fault) => return reject(&stream, &fault).await,
        };
        let is_last = !request.head.keeps_alive || state.serving().is_leaving();
        if !exchange(&state, &stream, &mut input, request, &open, is_last).await {
            return;
        }
        is_used = true;
    }
}

/// Answers with the reason why a request can't be read. The connection is closed, since it is unknown where the
/// next request begins.
async fn reject(stream: &TcpStream, fault: &ReadFault) {
    if let Some(status) = fault.status() {
        let answer = CallerAnswer::new(stream, true);
        // A failed write means that the caller is gone.
        let message = fault.to_string();
        let _written = answer
            .write_error(status, &message, fault.retry_after_ms())
            .await;
    }
}

/// Reads a request, unless all connections close before it is complete.
///
/// Guards against a caller whose connection closes without a word at the exit while it is sending a request.
async fn read_unless_closing(
    state: &Arc<EntryState>,
    stream: &TcpStream,
    input: &mut Input,
    arrived: MonoMs,
) -> Result<ReadRequest, ReadFault> {
    let closing = state.until_connections_close();
    let reading = read_request(state, stream, input, arrived);
    pin_mut!(closing, reading);
    match select(closing, reading).await {
        Either::Left(((), _)) => Err(ReadFault::Leaving),
        Either::Right((request, _)) => request,
    }
}

async fn read_request(
    state: &Arc<EntryState>,
    stream: &TcpStream,
    input: &mut Input,
    arrived: MonoMs,
) -> Result<ReadRequest, ReadFault> {
    let limits = limits(state);
    let reading = read_head(stream, input, &limits);
    let head = timeout(state.clock.as_ref(), limits.head_timeout_ms, reading)
        .await
        .ok_or(ReadFault::Slow)??;
    if head.waits_for_continue {
        let mut stream = stream;
        let continued = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        continued.map_err(|_gone| ReadFault::Closed)?;
    }
    let deadline_ms = read_deadline_ms(head.pairs()).unwrap_or(ASSUMED_DEADLINE_MS);
    let left_ms = deadline_ms.saturating_sub(state.now().since(arrived));
    let reading = read_body(state, stream, input, &head, &limits);
    let body = timeout(state.clock.as_ref(), left_ms, reading)
        .await
        .ok_or(ReadFault::Slow)??;
    Ok(ReadRequest {
        head,
        body,
        arrived,
    })
}

fn limits(state: &Arc<EntryState>) -> Limits {
    state
        .serving()
        .configuration()
        .map(|configuration| configuration.limits)
        .unwrap_or_default()
}

/// Waits for the next request of a caller. Returns `false` if the connection is to close: the caller has closed it, left
/// it idle for too long, or this instance is leaving.
async fn wait_for_first_byte(
    state: &Arc<EntryState>,
    stream: &TcpStream,
    input: &mut Input,
    is_used: bool,
) -> bool {
    if !input.is_empty() {
        return true;
    }
    let closing = until_idle_connection_closes(state, is_used);
    let filled = input.fill(stream);
    pin_mut!(filled, closing);
    // Bytes that have arrived are read first, also when the connection is to close.
    match select(filled, closing).await {
        Either::Left((filled, _)) => matches!(filled, Ok(count) if count > 0),
        Either::Right(((), _)) => false,
    }
}

/// Completes when a connection that is idle from now on is to close: at the idle timeout of the configuration that is
/// active by then, or when this instance leaves. One that hasn't carried a request closes last, since its caller is about
/// to send one.
async fn until_idle_connection_closes(state: &Arc<EntryState>, is_used: bool) {
    let leaving = async {
        if is_used {
            state.until_idle_connections_close().await;
        } else {
            state.until_connections_close().await;
        }
    };
    let idle = until_idle_timeout(state, is_used);
    pin_mut!(leaving, idle);
    select(leaving, idle).await;
}

/// Guards against a connection that closes by a former, shorter timeout while its caller, which knows the new one, sends
/// a request on it.
///
/// A connection that hasn't carried a request has at least the time for a head: its caller is about to send one.
async fn until_idle_timeout(state: &Arc<EntryState>, is_used: bool) {
    let idle_since = state.now();
    loop {
        let idle_ms = state.now().since(idle_since);
        let limits = limits(state);
        let timeout_ms = if is_used {
            limits.idle_timeout_ms
        } else {
            limits.idle_timeout_ms.max(limits.head_timeout_ms)
        };
        let left_ms = timeout_ms.saturating_sub(idle_ms);
        if left_ms == 0 {
            return;
        }
        state.clock.sleep(left_ms).await;
    }
}

async fn read_head(
    stream: &TcpStream,
    input: &mut Input,
    limits: &Limits,
) -> Result<RequestHead, ReadFault> {
    loop {
        if let Some(end) = find_head_end(input.as_slice())? {
            let head = RequestHead::parse(&input.as_slice()[..end])?;
            if end > limits.max_head_bytes + ForwardNote::header_bytes(&head) {
                return Err(HeadFault::TooLarge.into());
            }
            input.consume(end);
            return Ok(head);
        }
        if input.as_slice().len() > limits.max_head_bytes + ForwardNote::MAX_HEADER_BYTES {
            return Err(HeadFault::TooLarge.into());
        }
        match input.fill(stream).await {
            Ok(0) | Err(_) => return Err(ReadFault::Closed),
            Ok(_) => {}
        }
    }
}

async fn read_body(
    state: &Arc<EntryState>,
    stream: &TcpStream,
    input: &mut Input,
    head: &RequestHead,
    limits: &Limits,
) -> Result<Vec<u8>, ReadFault> {
    if let Framing::Length(length) = head.framing
        && length > limits.max_body_bytes as u64
    {
        return Err(ReadFault::BodyTooLarge);
    }
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    loop {
        let progress = decoder.decode(input, &mut body)?;
        if body.len() > limits.max_body_bytes {
            return Err(ReadFault::BodyTooLarge);
        }
        if progress == BodyProgress::Complete {
            return Ok(body);
        }
        let filled = input.fill(stream);
        match timeout(state.clock.as_ref(), BODY_PAUSE_TIMEOUT_MS, filled).await {
            Some(Ok(count)) if count > 0 => {}
            Some(Ok(_) | Err(_)) => return Err(BodyFault::Truncated.into()),
            None => return Err(ReadFault::Slow),
        }
    }
}
