use {
    super::{
        answer::Answer,
        hangup::hangup,
        refusal::Refusal,
        request_head::{NoHead, Replayed, read_head},
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

/// HTTP status of a request that took too long to send.
const REQUEST_TIMEOUT: u16 = 408;
/// Time for which a refused caller's bytes are read and dropped, in ms, so that it reads the
/// refusal before its connection is reset.
const LINGER_MS: u64 = 1_000;

/// A request read whole, or why there is none.
enum Incoming {
    Request(Box<Request>, Vec<u8>),
    Refused(Refusal),
    Closed,
}

/// Serves a caller's connection, one request after another.
pub async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    while serve_one(&shared, &stream).await {}
}

/// Serves one request. Returns whether another may follow.
async fn serve_one(shared: &Arc<Shared>, stream: &TcpStream) -> bool {
    let limit_ms = shared.settings.limits.read_timeout_ms;
    // Boxed, since reading needs far more memory than waiting for an answer, which takes longer.
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
    let head = match read_head(stream, limits.max_header_bytes).await {
        Ok(head) => head,
        Err(NoHead::Closed) => return Incoming::Closed,
        Err(NoHead::Refused(refusal)) => return Incoming::Refused(refusal),
    };
    let replayed = Replayed::new(head, stream.clone());
    match async_h1::server::decode(replayed).await {
        Ok(Some((request, _body))) => read_whole(request, limits.max_body_bytes).await,
        Ok(None) => Incoming::Closed,
        Err(error) => {
            let message = format!("this is not an HTTP/1.1 request ({error}): mend it");
            Incoming::Refused(Refusal::new(Reason::BadRequest, message))
        }
    }
}

async fn read_whole(mut request: Request, max_bytes: u64) -> Incoming {
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
    let whole = read.is_ok() && expected.is_none_or(|length| length == body.len());
    if whole {
        return Incoming::Request(Box::new(request), body);
    }
    let message = "the request ends within its body: send it whole";
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
    let Some(_open) = shared.open_requests.open() else {
        let message = "this daemon is ending: use another entry";
        let refusal = Refusal::new(Reason::Leaving, message).retry_after_ms(0);
        refuse(shared, stream, refusal).boxed().await;
        return false;
    };
    let answer = match route(shared, request, body).boxed().await {
        Routed::Now(answer) => answer,
        Routed::Later(later) => {
            let answered = later.recv();
            let gone = hangup(stream);
            pin_mut!(answered, gone);
            match select(answered, gone).await {
                Either::Left((Ok(answer), _)) => answer,
                // Dropping the receiver tells the exchange that the caller went away.
                Either::Left((Err(async_channel::RecvError), _)) | Either::Right(((), _)) => {
                    return false;
                }
            }
        }
    };
    let written = write(shared, stream, answer, request.method()).await;
    written && !wants_close(request)
}

async fn write(shared: &Shared, stream: &TcpStream, answer: Answer, method: Method) -> bool {
    let limit_ms = shared.settings.limits.write_timeout_ms;
    let response = answer.into_response();
    write_answer(shared.clock.as_ref(), stream, response, method, limit_ms)
        .await
        .is_ok()
}

fn wants_close(request: &Request) -> bool {
    request
        .header(CONNECTION)
        .is_some_and(|value| value.last().as_str().eq_ignore_ascii_case("close"))
}

/// Answers a request that wasn't read whole and ends the connection. What is still on its way is
/// read and dropped for a while: closing at once would reset the connection, and the caller would
/// see that instead of the refusal.
pub async fn refuse(shared: &Shared, stream: &TcpStream, refusal: Refusal) {
    let limit_ms = shared.settings.limits.write_timeout_ms;
    let mut response = Answer::Ended(refusal).into_response();
    response.insert_header("connection", "close");
    let encoder = async_h1::server::Encoder::new(response, Method::Get);
    let mut out = stream.clone();
    let written = futures::io::copy(encoder, &mut out);
    let written = timeout(shared.clock.as_ref(), limit_ms, written).await;
    if !matches!(written, Some(Ok(_))) {
        return;
    }
    // An error means that the connection is closed already, which is what is wanted.
    let _closed = stream.shutdown(Shutdown::Write);
    let mut nowhere = futures::io::sink();
    let drained = futures::io::copy(stream.clone(), &mut nowhere);
    let _over = timeout(shared.clock.as_ref(), LINGER_MS, drained).await;
}
