//! JSON bodies over HTTP, and what targets answer alike.

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

/// One request to a fake.
#[derive(Debug)]
pub struct Call {
    pub path: String,
    pub request: Request,
    pub connection: Arc<Connection>,
}

impl Call {
    /// Reads the JSON body.
    pub async fn read<T: DeserializeOwned>(&mut self) -> Result<T, Fault> {
        let bytes = self.request.body_bytes().await?;
        serde_json::from_slice(&bytes)
            .map_err(|error| Fault::BadRequest(format!("send the documented JSON body: {error}")))
    }

    /// Reads the query.
    pub fn query<T: DeserializeOwned>(&self) -> Result<T, Fault> {
        Ok(self.request.query()?)
    }
}

/// Answers with a JSON body and status 200.
pub fn ok(body: &impl Serialize) -> Answer {
    json(StatusCode::Ok, body)
}

/// Answers with a JSON body and status 200, or with 404.
pub fn found(body: Option<&impl Serialize>) -> Answer {
    body.map_or_else(|| status(StatusCode::NotFound), ok)
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

/// Answers that the attempt was not run and never will be.
pub fn refuse(attempt: AttemptId, reason: RefusalReason) -> Answer {
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

/// Reads a JSON answer from another fake; `None` if there is none for whatever reason.
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

fn json(status: StatusCode, body: &impl Serialize) -> Answer {
    let mut response = Response::new(status);
    response.set_body(Body::from_json(body)?);
    Ok(response)
}
