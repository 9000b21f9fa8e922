use {
    super::submission::SecretHeader,
    crate::{
        clock::timeout,
        shared::Shared,
        targets::{AttemptWork, MAX_ANSWER_BYTES, connect, read_body},
    },
    http_types::{Method, Request, Response, Url},
    std::{net::SocketAddr, sync::Arc},
    whinlatch_core::Submission,
    whinlatch_wire::caller::{
        ACCOUNT_HEADER, CALLER_HEADER, DEADLINE_HEADER, FORWARDED_HEADER, OUTCOME_HEADER,
        REASON_HEADER, REQUEST_HEADER, SERVICES_PREFIX, TICKET_HEADER,
    },
};

/// Largest answer of a home that is passed to the caller, in bytes: a target's, and what the home adds to it.
const MAX_FORWARDED_BYTES: u64 = MAX_ANSWER_BYTES + 1_048_576;
/// Header fields of the home's answer that are copied to the caller's.
const COPIED_FIELDS: [&str; 5] = [
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_HEADER,
    "retry-after",
    "content-type",
];

/// A request to be forwarded to the home of its ticket.
#[derive(Debug)]
pub struct Forward<'a> {
    /// The caller's request without its body.
    pub submission: &'a Submission,
    /// Service and body of the request.
    pub work: &'a AttemptWork,
    /// The caller's `authorization` header.
    pub key: &'a SecretHeader,
    /// Time until the request's deadline, in ms.
    pub remaining_ms: u64,
    /// The home's address for callers.
    pub to: SocketAddr,
}

impl Forward<'_> {
    /// Forwards the request. The future yields `None` if the home doesn't answer in time. Dropping
    /// it closes the connection, by which the home detects that the caller disconnected.
    pub fn begin(
        &self,
        shared: Arc<Shared>,
    ) -> impl Future<Output = Option<Response>> + Send + 'static {
        let request = self.request(&shared);
        let (to, remaining_ms) = (self.to, self.remaining_ms);
        async move {
            let answer = send(&shared, request?, to);
            timeout(shared.clock.as_ref(), remaining_ms, answer).await?
        }
    }

    fn request(&self, shared: &Shared) -> Option<Request> {
        let AttemptWork::Call { service, body, .. } = self.work else {
            return None;
        };
        let url = Url::parse(&format!("http://{}{SERVICES_PREFIX}{service}", self.to)).ok()?;
        let mut request = Request::new(Method::Post, url);
        request.set_body(body.clone());
        request.insert_header("connection", "close");
        request.insert_header(ACCOUNT_HEADER, self.submission.account.as_str());
        request.insert_header(DEADLINE_HEADER, self.remaining_ms.to_string());
        request.insert_header(FORWARDED_HEADER, shared.incarnation.to_string());
        if let Some(caller) = &self.submission.caller {
            request.insert_header(CALLER_HEADER, caller.as_str());
        }
        if let Some(ticket) = &self.submission.ticket {
            request.insert_header(TICKET_HEADER, ticket.to_string());
        }
        if let Some(key) = &self.key.0 {
            request.insert_header("authorization", key.as_str());
        }
        Some(request)
    }
}

async fn send(shared: &Shared, request: Request, to: SocketAddr) -> Option<Response> {
    let stream = connect(shared.clock.as_ref(), to).await.ok()?;
    let mut answer = async_h1::connect(stream, request).await.ok()?;
    let body = read_body(&mut answer, MAX_FORWARDED_BYTES).await.ok()?;
    let mut response = Response::new(answer.status());
    response.set_body(body);
    for field in COPIED_FIELDS {
        if let Some(value) = answer.header(field) {
            response.insert_header(field, value.last().as_str());
        }
    }
    Some(response)
}
