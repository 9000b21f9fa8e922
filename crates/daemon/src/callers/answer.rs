use {
    super::{
        refusal::{Refusal, reason_name},
        stream_answer::ChunkReceiver,
    },
    http_types::{Body, Response, StatusCode},
    std::sync::Arc,
    whinlatch_wire::{
        caller::{OUTCOME_HEADER, Outcome, REASON_HEADER, REQUEST_HEADER},
        ids::RequestId,
        target::ServiceAnswer,
    },
};

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// The answer to a caller's request, before it is encoded as an HTTP response.
#[derive(Debug)]
pub enum Answer {
    /// A stream of events that ends with the outcome.
    Stream {
        /// Id of the request, sent in a header.
        request: RequestId,
        /// Events of the stream, in order.
        events: ChunkReceiver,
    },
    /// The complete answer of a plain service.
    Service {
        /// Status and body that the service sent.
        answer: Arc<ServiceAnswer>,
        /// Outcome, sent in headers.
        outcome: Box<Outcome>,
    },
    /// An outcome without a target's answer, sent as JSON and in headers.
    Ended(Refusal),
    /// The answer of the ticket's home, to which the request was forwarded.
    Forwarded(Box<Response>),
    /// A page for operators or callers.
    Page {
        /// HTTP status.
        status: u16,
        /// Value of the `content-type` header.
        media_type: &'static str,
        /// Complete body.
        body: Vec<u8>,
    },
}

impl Answer {
    /// Creates an answer from an outcome, with the default HTTP status of its reason.
    pub fn ended(outcome: Outcome) -> Self {
        Self::Ended(Refusal {
            status: outcome.reason.http_status(),
            outcome: Box::new(outcome),
        })
    }

    /// Builds the HTTP response.
    pub fn into_response(self) -> Response {
        match self {
            Self::Stream { request, events } => {
                let mut response = Response::new(StatusCode::Ok);
                response.insert_header("content-type", "text/event-stream");
                response.insert_header("cache-control", "no-store");
                response.insert_header(REQUEST_HEADER, request.to_string());
                response.set_body(Body::from_reader(events.into_reader(), None));
                response
            }
            Self::Service { answer, outcome } => {
                let mut response = Response::new(status(answer.status));
                response.set_body(answer.body.clone());
                insert_outcome(&mut response, &outcome);
                response
            }
            Self::Ended(refusal) => ended_response(&refusal),
            Self::Forwarded(response) => *response,
            Self::Page {
                status: code,
                media_type,
                body,
            } => {
                let mut response = Response::new(status(code));
                response.set_body(body);
                response.insert_header("content-type", media_type);
                response
            }
        }
    }
}

fn ended_response(refusal: &Refusal) -> Response {
    let outcome = &refusal.outcome;
    let mut response = Response::new(status(refusal.status));
    let body = serde_json::to_vec(outcome).unwrap_or_default();
    response.set_body(body);
    response.insert_header("content-type", "application/json");
    insert_outcome(&mut response, outcome);
    response
}

fn insert_outcome(response: &mut Response, outcome: &Outcome) {
    response.insert_header(OUTCOME_HEADER, outcome.outcome.as_str());
    response.insert_header(REASON_HEADER, reason_name(outcome.reason));
    response.insert_header(REQUEST_HEADER, outcome.request.to_string());
    if let Some(ms) = outcome.retry_after_ms {
        response.insert_header("retry-after", ms.div_ceil(MS_PER_S).to_string());
    }
}

/// Converts a target's status; one that the HTTP library doesn't know becomes 502 (bad gateway).
fn status(code: u16) -> StatusCode {
    StatusCode::try_from(code).unwrap_or(StatusCode::BadGateway)
}
