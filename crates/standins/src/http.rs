//! JSON bodies over HTTP.

use {
    http_types::{Body, Request, Response, StatusCode},
    serde::{Serialize, de::DeserializeOwned},
    thiserror::Error,
};

/// Why a request got no answer of its own.
#[derive(Debug, Error)]
pub enum Fault {
    /// The request can't be read.
    #[error("{0}")]
    BadRequest(String),
    /// The connection is to be closed without an answer.
    #[error("broken off")]
    BrokenOff,
}

impl From<http_types::Error> for Fault {
    fn from(error: http_types::Error) -> Self {
        Self::BadRequest(error.to_string())
    }
}

/// What became of a request.
pub type Answer = Result<Response, Fault>;

/// Reads the whole body.
pub async fn read<T: DeserializeOwned>(request: &mut Request) -> Result<T, Fault> {
    let bytes = request.body_bytes().await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Fault::BadRequest(format!("send the documented JSON body: {error}")))
}

/// Reads the fields of the query.
pub fn query<T: DeserializeOwned>(request: &Request) -> Result<T, Fault> {
    Ok(request.query()?)
}

/// Answers with a JSON body.
pub fn json(status: StatusCode, body: &impl Serialize) -> Answer {
    let mut response = Response::new(status);
    response.set_body(Body::from_json(body)?);
    Ok(response)
}

/// Answers with a JSON body and status 200.
pub fn ok(body: &impl Serialize) -> Answer {
    json(StatusCode::Ok, body)
}

/// Answers with a status and no body.
#[expect(
    clippy::unnecessary_wraps,
    reason = "stands at the end of a match of answers"
)]
pub fn status(status: StatusCode) -> Answer {
    Ok(Response::new(status))
}

/// Answers that all went well.
pub fn done() -> Answer {
    status(StatusCode::NoContent)
}
