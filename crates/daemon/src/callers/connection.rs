use {
    super::{
        answer::Answer,
        hangup::hangup,
        refusal::Refusal,
        request_head::{HeadError, ReplayedStream, read_head},
        routes::{Routed, route},
        write_answer::write_answer,
    },
    crate::{clock::timeout, shared::Shared},
    async_std::net::TcpStream,
    futures::{
        FutureExt,
        future::{Either, select},
        io::AsyncReadExt,
        pin_mut,
    },
    http_types::{Method, Request, headers::CONNECTION},
    std::{net::Shutdown, sync::Arc},
    whinlatch_wire::caller::Reason,
};

/// HTTP status of a request that wasn't received in time.
const REQUEST_TIMEOUT: u16 = 408;
/// Time for which bytes of a caller are read and discarded after its last answer, in ms, so that it can read the
/// answer before its connection is reset.
const LINGER_MS: u64 = 1_000;

/// The result of reading a request.
enum Incoming {
    /// A complete request and its body.
    Request(Box<Request>, Vec<u8>),
    Refused(Refusal),
    /// The caller closed the connection before a request.
    Closed,
}

/// Serves the requests of a caller's connection in sequence, until it closes.
pub async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    let open = shared.open_connections.open();
    while serve_one(&shared, &stream).await {}
    // The process may exit as soon as no connection counts as open.
    drop(stream);
    drop(open);
}

/// Serves one request. Returns whether the connection stays open for another.
async fn serve_one(shared: &Arc<Shared>, stream: &TcpStream) -> bool {
    let limit_ms = shared.settings.limits.read_timeout_ms;
    // Boxed, because reading needs far more memory than waiting for the answer, and the wait is
    // the longer part.
    let reading = read_request(shared, stream).boxed();
    let read = timeout(shared.clock.as_ref(), limit_ms, reading).await;
    match read {
        Some(Incoming::Request(request, body)) => answer(shared, stream, &request, body).await,
        Some(Incoming::Refused(refusal)) => {
            refuse(shared, stream, refusal).boxed().await;
            false
        }
        None => {
            let message = format!("the request took over {limit_ms} ms to send: send it faster");
            let refusal = Refusal::with_status(REQUEST_TIMEOUT, Reason::BadRequest, message);
            refuse(shared, stream, refusal).boxed().await;
            false
        }
        Some(Incoming::Closed) => false,
    }
}

async fn read_request(shared: &Shared, stream: &TcpStream) -> Incoming {
    let limits = &shared.settings.limits;
    if !begins(shared, stream).await {
        return Incoming::Closed;
    }
    let head = match read_head(stream, limits.max_header_bytes).await {
        Ok(head) => head,
        Err(HeadError::Closed) => return Incoming::Closed,
        Err(HeadError::Refused(refusal)) => return Incoming::Refused(refusal),
    };
    let replayed = ReplayedStream::new(head, stream.clone());
    match async_h1::server::decode(replayed).await {
        Ok(Some((request, _body))) => read_full_body(request, limits.max_body_bytes).await,
        Ok(None) => Incoming::Closed,
        Err(error) => {
            let message = format!("this is not an HTTP/1.1 request ({error}): correct it");
            Incoming::Refused(Refusal::new(Reason::BadRequest, message))
        }
    }
}

/// Waits for the next request. Returns `false` if the connection is to close because the daemon exits; bytes that
/// have arrived are read first.
async fn begins(shared: &Shared, stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    let arrived = stream.peek(&mut byte);
    let closing = shared.open_connections.closing();
    pin_mut!(arrived, closing);
    matches!(select(arrived, closing).await, Either::Left(_))
}

async fn read_full_body(mut request: Request, max_bytes: u64) -> Incoming {
    let expected = request.len();
    if expected.is_some_and(|length| length as u64 > max_bytes) {
        return Incoming::Refused(body_too_large(max_bytes));
    }
    let mut body = Vec::new();
    let read = request
        .take_body()
        .into_reader()
        .take(max_bytes + 1)
        .read_to_end(&mut body)
        .await;
    if body.len() as u64 > max_bytes {
        return Incoming::Refused(body_too_large(max_bytes));
    }
    let complete = read.is_ok() && expected.is_none_or(|length| length == body.len());
    if complete {
        return Incoming::Request(Box::new(request), body);
    }
    let message = "the connection ended within the request's body: send all of it";
    Incoming::Refused(Refusal::new(Reason::BadRequest, message))
}

fn body_too_large(max_bytes: u64) -> Refusal {
    let message = format!("the body is over {max_bytes} bytes: send a shorter prompt");
    Refusal::new(Reason::TooLarge, message)
}

async fn answer(
    shared: &Arc<Shared>,
    stream: &TcpStream,
    request: &Request,
    body: Vec<u8>,
) -> bool {
    let Some(open) = shared.open_requests.open() else {
        let message = "this daemon is shutting down: use another entry";
        let refusal = Refusal::new(Reason::Leaving, message).retry_after_ms(0);
        refuse(shared, stream, refusal).boxed().await;
        return false;
    };
    let answer = match route(shared, request, body).boxed().await {
        Routed::Immediate(answer) => answer,
        Routed::Pending(pending) => {
            let answered = pending.recv();
            let gone = hangup(stream);
            pin_mut!(answered, gone);
            match select(answered, gone).await {
                Either::Left((Ok(answer), _)) => answer,
                // Dropping the receiver signals to the exchange that the caller disconnected.
                Either::Left((Err(async_channel::RecvError), _)) | Either::Right(((), _)) => {
                    return false;
                }
            }
        }
    };
    let is_leaving = shared.open_connections.is_leaving();
    let written = write(shared, stream, answer, request.method(), is_leaving).await;
    drop(open);
    if written && is_leaving {
        linger(shared, stream).await;
    }
    written && !is_leaving && !wants_close(request)
}

async fn write(
    shared: &Shared,
    stream: &TcpStream,
    answer: Answer,
    method: Method,
    is_last: bool,
) -> bool {
    let limit_ms = shared.settings.limits.write_timeout_ms;
    let mut response = answer.into_response();
    if is_last {
        response.insert_header(CONNECTION, "close");
    }
    write_answer(shared.clock.as_ref(), stream, response, method, limit_ms)
        .await
        .is_ok()
}

fn wants_close(request: &Request) -> bool {
    request
        .header(CONNECTION)
        .is_some_and(|value| value.last().as_str().eq_ignore_ascii_case("close"))
}

/// Answers a request that wasn't read completely and closes the connection.
pub async fn refuse(shared: &Shared, stream: &TcpStream, refusal: Refusal) {
    let limit_ms = shared.settings.limits.write_timeout_ms;
    let mut response = Answer::Ended(refusal).into_response();
    response.insert_header("connection", "close");
    let encoder = async_h1::server::Encoder::new(response, Method::Get);
    let mut out = stream.clone();
    let written = futures::io::copy(encoder, &mut out);
    let written = timeout(shared.clock.as_ref(), limit_ms, written).await;
    if matches!(written, Some(Ok(_))) {
        linger(shared, stream).await;
    }
}

/// Closes a connection after its last answer. Bytes that the caller still sends are read and discarded for up to
/// [`LINGER_MS`]: closing immediately would reset the connection, and the caller could lose the answer.
async fn linger(shared: &Shared, stream: &TcpStream) {
    // An error means that the connection is closed already.
    let _closed = stream.shutdown(Shutdown::Write);
    let mut discard = futures::io::sink();
    let drained = futures::io::copy(stream.clone(), &mut discard);
    let _ended = timeout(shared.clock.as_ref(), LINGER_MS, drained).await;
}
