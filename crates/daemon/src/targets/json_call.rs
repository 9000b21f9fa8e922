use {
    super::{connect::connect, gate::Gate},
    crate::{clock::timeout, shared::Shared},
    futures::io::{AsyncRead, AsyncReadExt},
    http_types::{Method, Request, Response, StatusCode, Url},
    serde::{Serialize, de::DeserializeOwned},
    std::{io, net::SocketAddr},
    thiserror::Error,
    whinlatch_core::MonoMs,
};

/// The failure of a call that isn't an attempt.
#[derive(Debug, Error)]
pub enum CallError {
    /// No byte was written.
    #[error("nothing was sent: connect again")]
    NotSent,
    /// Bytes may have been written, and no complete answer arrived.
    #[error("the answer is lost: retry if the call is idempotent")]
    Lost,
    /// The answer has another HTTP status than 200.
    #[error("the answer has status {0}: see the other side's log")]
    Status(u16),
    /// The body can't be encoded or decoded, or the URL is invalid.
    #[error("the answer can't be read ({0}): run compatible versions")]
    Unreadable(String),
}

/// A completely read answer.
#[derive(Debug)]
pub struct WholeAnswer {
    /// HTTP status, of success or failure.
    pub status: u16,
    /// Body, not yet decoded.
    pub body: Vec<u8>,
}

impl WholeAnswer {
    /// Decodes the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|error| CallError::Unreadable(error.to_string()))
    }
}

/// Reads JSON of at most `max_bytes` from `path` within `timeout_ms`.
///
/// # Errors
/// [`CallError`] if the answer is late, too large, not JSON, or has another status than 200.
pub async fn get_json<T: DeserializeOwned>(
    shared: &Shared,
    address: SocketAddr,
    path: &str,
    timeout_ms: u64,
    max_bytes: u64,
) -> Result<T, CallError> {
    let request = request(Method::Get, address, path)?;
    let send_before = shared.clock.now() + timeout_ms;
    let call = exchange(shared, address, request, send_before, max_bytes);
    let answer = timeout(shared.clock.as_ref(), timeout_ms, call)
        .await
        .unwrap_or(Err(CallError::Lost))?;
    match answer.status {
        200 => answer.json(),
        status => Err(CallError::Status(status)),
    }
}

/// Posts JSON to `path` unless `send_before` has passed, and reads the complete answer.
///
/// # Errors
/// [`CallError::NotSent`] if nothing was written, [`CallError::Lost`] if no complete answer arrived
/// within `timeout_ms`.
pub async fn post_json<T: Serialize>(
    shared: &Shared,
    address: SocketAddr,
    path: &str,
    body: &T,
    send_before: MonoMs,
    timeout_ms: u64,
) -> Result<WholeAnswer, CallError> {
    let mut request = request(Method::Post, address, path)?;
    set_json(&mut request, body)?;
    let call = exchange(shared, address, request, send_before, MAX_ANSWER_BYTES);
    timeout(shared.clock.as_ref(), timeout_ms, call)
        .await
        .unwrap_or(Err(CallError::Lost))
}

/// Largest complete answer of a target, in bytes.
pub const MAX_ANSWER_BYTES: u64 = 16 * 1_048_576;

pub fn request(method: Method, address: SocketAddr, path: &str) -> Result<Request, CallError> {
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|error| CallError::Unreadable(error.to_string()))?;
    Ok(Request::new(method, url))
}

pub fn set_json<T: Serialize>(request: &mut Request, body: &T) -> Result<(), CallError> {
    let bytes =
        serde_json::to_vec(body).map_err(|error| CallError::Unreadable(error.to_string()))?;
    request.set_body(bytes);
    request.insert_header("content-type", "application/json");
    Ok(())
}

async fn exchange(
    shared: &Shared,
    address: SocketAddr,
    mut request: Request,
    send_before: MonoMs,
    max_bytes: u64,
) -> Result<WholeAnswer, CallError> {
    let stream = connect(shared.clock.as_ref(), address)
        .await
        .map_err(|_refused| CallError::NotSent)?;
    let gate = Gate::new(std::sync::Arc::clone(&shared.clock), send_before);
    request.insert_header("connection", "close");
    let mut response = async_h1::connect(gate.guard(stream), request)
        .await
        .map_err(|_broken| lost_or_not_sent(&gate))?;
    let body = read_body(&mut response, max_bytes)
        .await
        .map_err(|_broken| CallError::Lost)?;
    Ok(WholeAnswer {
        status: status_of(&response),
        body,
    })
}

fn lost_or_not_sent(gate: &Gate) -> CallError {
    if gate.may_have_sent() {
        CallError::Lost
    } else {
        CallError::NotSent
    }
}

pub fn status_of(response: &Response) -> u16 {
    response.status().into()
}

/// Reads a complete body.
///
/// # Errors
/// The connection breaks before the end of the body, or the body is larger than `max_bytes`.
pub async fn read_body(response: &mut Response, max_bytes: u64) -> io::Result<Vec<u8>> {
    if response.status() == StatusCode::NoContent {
        return Ok(Vec::new());
    }
    let expected = response.len();
    let body = read_limited(response, max_bytes).await?;
    match expected {
        Some(expected) if expected != body.len() => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(body),
    }
}

async fn read_limited(
    reader: &mut (impl AsyncRead + Unpin),
    max_bytes: u64,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    reader.take(max_bytes + 1).read_to_end(&mut body).await?;
    if body.len() as u64 > max_bytes {
        let message = format!("the answer is larger than {max_bytes} bytes: send less");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    Ok(body)
}
