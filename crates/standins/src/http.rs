//! JSON bodies over HTTP, and the responses that all fakes share.

use {
    crate::standin::Connection,
    async_std::net::TcpStream,
    http_types::{Body, Method, Request, Response, StatusCode, Url},
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc},
    thiserror::Error,
    whinlatch_wire::{
        ids::AttemptId,
        target::{Refusal, RefusalReason},
    },
};

/// Reason why a handler produced no response.
#[derive(Debug, Error)]
pub enum HandlerError {
    /// The request can't be parsed; the text is sent as the body of a 400 response.
    #[error("{0}")]
    BadRequest(String),
    /// The connection is closed without a response.
    #[error("the connection is closed without a response")]
    CloseConnection,
}

impl From<http_types::Error> for HandlerError {
    fn from(error: http_types::Error) -> Self {
        Self::BadRequest(error.to_string())
    }
}

/// Result of handling a request.
pub type HandlerResult = Result<Response, HandlerError>;

/// Request to a fake, with the connection that it arrived on.
#[derive(Debug)]
pub struct IncomingRequest {
    pub path: String,
    pub request: Request,
    pub connection: Arc<Connection>,
}

impl IncomingRequest {
    /// Reads and parses the JSON body.
    pub async fn read<T: DeserializeOwned>(&mut self) -> Result<T, HandlerError> {
        let bytes = self.request.body_bytes().await?;
        serde_json::from_slice(&bytes).map_err(|error| {
            HandlerError::BadRequest(format!("send the documented JSON body: {error}"))
        })
    }

    /// Parses the query string.
    pub fn query<T: DeserializeOwned>(&self) -> Result<T, HandlerError> {
        Ok(self.request.query()?)
    }
}

/// Answers with a JSON body and status 200.
pub fn ok(body: &impl Serialize) -> HandlerResult {
    json(StatusCode::Ok, body)
}

/// Answers with a JSON body and status 200, or with 404.
pub fn ok_or_not_found(body: Option<&impl Serialize>) -> HandlerResult {
    body.map_or_else(|| status(StatusCode::NotFound), ok)
}

/// Answers with a status and no body.
#[expect(
    clippy::unnecessary_wraps,
    reason = "returned from handlers, which can fail"
)]
pub fn status(status: StatusCode) -> HandlerResult {
    Ok(Response::new(status))
}

/// Answers with status 204: the request was carried out and there is nothing to return.
pub fn no_content() -> HandlerResult {
    status(StatusCode::NoContent)
}

/// Answers with a refusal: the attempt was not run and never will be.
pub fn refuse(attempt: AttemptId, reason: RefusalReason) -> HandlerResult {
    let code = match reason {
        RefusalReason::Invalid => StatusCode::BadRequest,
        RefusalReason::OtherIncarnation => StatusCode::Conflict,
        _ => StatusCode::ServiceUnavailable,
    };
    json(
        code,
        &Refusal {
            attempt,
            reason,
            retry_after_ms: None,
        },
    )
}

/// Fetches a JSON document from another fake; `None` if that fails for any reason.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let stream = TcpStream::connect(address).await.ok()?;
    let mut response = async_h1::connect(stream, Request::new(Method::Get, url))
        .await
        .ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.body_json().await.ok()
}

fn json(status: StatusCode, body: &impl Serialize) -> HandlerResult {
    let mut response = Response::new(status);
    response.set_body(Body::from_json(body)?);
    Ok(response)
}
