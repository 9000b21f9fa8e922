//! A caller of the daemons.

use {
    super::world::{ACCOUNT, CALLER_KEY, MODEL},
    async_std::{io::ReadExt, net::TcpStream},
    http_types::{Method, Request, Response, Url},
    serde::de::DeserializeOwned,
    serde_json::json,
    std::net::SocketAddr,
    whinlatch_standins::engine::answer_word,
    whinlatch_wire::{
        caller::{
            ACCOUNT_HEADER, COMPLETIONS_PATH, CompletionChunk, DEADLINE_HEADER, OUTCOME_HEADER,
            Outcome, OutcomeKind, REASON_HEADER, REQUEST_HEADER, Reason, TICKET_HEADER,
        },
        ids::{ModelName, Ticket},
    },
};

/// A deadline that is never reached in a test, in ms.
pub const LONG_DEADLINE_MS: u64 = 300_000;

/// A complete answer. Functions return `None` instead if the connection broke before its end.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub text: String,
    pub outcome: Outcome,
}

impl Answer {
    /// Returns the kind of the outcome.
    pub fn kind(&self) -> OutcomeKind {
        self.outcome.outcome
    }
}

/// Reads a JSON page of a daemon; `None` if it doesn't answer.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let request = request(address, Method::Get, path);
    send(address, request).await?.body_json().await.ok()
}

/// Builds a request for a completion.
pub fn completion(address: SocketAddr, prompt: &str, deadline_ms: u64) -> Request {
    let mut request = request(address, Method::Post, COMPLETIONS_PATH);
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": 4_000 });
    request.set_body(body.to_string());
    request.insert_header("content-type", "application/json");
    insert_caller(&mut request, deadline_ms);
    request
}

/// Builds a call of the service that isn't idempotent.
pub fn call(address: SocketAddr, body: &str, ticket: Option<Ticket>, deadline_ms: u64) -> Request {
    let mut request = request(address, Method::Post, "/v1/services/labels");
    request.set_body(body);
    insert_caller(&mut request, deadline_ms);
    if let Some(ticket) = ticket {
        request.insert_header(TICKET_HEADER, ticket.to_string());
    }
    request
}

/// Gets a ticket for a call.
pub async fn ticket(address: SocketAddr, body: &str) -> Ticket {
    let answer = send_and_read(address, call(address, body, None, LONG_DEADLINE_MS)).await;
    let outcome = answer.unwrap().outcome;
    assert_eq!(outcome.reason, Reason::TicketNeeded);
    outcome.ticket.unwrap()
}

fn request(address: SocketAddr, method: Method, path: &str) -> Request {
    let url = format!("http://{address}{path}");
    let mut request = Request::new(method, Url::parse(&url).unwrap());
    request.insert_header("connection", "close");
    request
}

fn insert_caller(request: &mut Request, deadline_ms: u64) {
    request.insert_header(ACCOUNT_HEADER, ACCOUNT);
    request.insert_header("authorization", format!("Bearer {CALLER_KEY}"));
    request.insert_header(DEADLINE_HEADER, deadline_ms.to_string());
}

/// Sends a request over a new connection and reads the head of the answer.
pub async fn send(address: SocketAddr, request: Request) -> Option<Response> {
    let stream = TcpStream::connect(address).await.ok()?;
    async_h1::connect(stream, request).await.ok()
}

/// Sends a request and reads the complete answer.
pub async fn send_and_read(address: SocketAddr, request: Request) -> Option<Answer> {
    read_answer(send(address, request).await?).await
}

/// Reads the complete answer, and checks that all parts of a stream belong to the same request.
pub async fn read_answer(mut response: Response) -> Option<Answer> {
    let mut body = String::new();
    response.read_to_string(&mut body).await.ok()?;
    let (text, outcome) = if body.contains("\n\n") {
        read_events(&body)?
    } else {
        (body.clone(), outcome_of(&response, &body))
    };
    let named = response.header(REQUEST_HEADER).unwrap().last().as_str();
    assert_eq!(named, outcome.request.to_string());
    Some(Answer {
        status: response.status().into(),
        text,
        outcome,
    })
}

/// Returns the text with which every engine answers a prompt.
pub fn answer_to(prompt: &str, tokens: u64) -> String {
    let model = ModelName::new(MODEL);
    (0..tokens)
        .map(|sequence| answer_word(&model, prompt, sequence))
        .collect()
}

fn read_events(body: &str) -> Option<(String, Outcome)> {
    let (events, _empty) = body.rsplit_once("\n\n")?;
    let (chunks, outcome) = events
        .strip_suffix("\n\ndata: [DONE]")?
        .rsplit_once("event: outcome\ndata: ")?;
    let outcome: Outcome = serde_json::from_str(outcome).unwrap();
    let text = chunks.split_terminator("\n\n").map(|event| {
        let json = event.strip_prefix("data: ").unwrap();
        let chunk: CompletionChunk = serde_json::from_str(json).unwrap();
        assert_eq!(chunk.id, outcome.request);
        chunk.choices[0].text.clone()
    });
    Some((text.collect(), outcome))
}

/// Returns an answer's outcome. A service's own answer has it in headers, any other in the body.
fn outcome_of(response: &Response, body: &str) -> Outcome {
    serde_json::from_str(body).unwrap_or_else(|_not_json| {
        let header = |name| response.header(name).unwrap().last().as_str();
        let json = json!({
            "request": header(REQUEST_HEADER), "outcome": header(OUTCOME_HEADER),
            "reason": header(REASON_HEADER), "message": "",
        });
        serde_json::from_value(json).unwrap()
    })
}
