//! A caller of the daemon.

use {
    super::fixture::{ACCOUNT, CALLER_KEY, MODEL},
    async_std::{
        io::{BufReadExt, ReadExt},
        net::TcpStream,
    },
    http_types::{Method, Request, Response, Url},
    serde::de::DeserializeOwned,
    serde_json::json,
    whinlatch_daemon::app::Daemon,
    whinlatch_wire::{
        caller::{
            ACCOUNT_HEADER, COMPLETIONS_PATH, CompletionChunk, DEADLINE_HEADER, Outcome,
            TICKET_HEADER,
        },
        ids::Ticket,
    },
};

/// A deadline that is never reached in a test, in ms.
pub const LONG_DEADLINE_MS: u64 = 300_000;

/// A completely read answer.
#[derive(Debug)]
pub struct FullAnswer {
    pub status: u16,
    pub text: String,
    pub outcome: Outcome,
    pub retry_after: Option<String>,
}

/// Reads a JSON page of the daemon.
pub async fn get<T: DeserializeOwned>(daemon: &Daemon, path: &str) -> T {
    let mut response = send(daemon, request(daemon, Method::Get, path)).await;
    response.body_json().await.unwrap()
}

/// Builds a request without headers.
pub fn request(daemon: &Daemon, method: Method, path: &str) -> Request {
    let url = format!("http://{}{path}", daemon.caller_address());
    Request::new(method, Url::parse(&url).unwrap())
}

/// Builds a request for a completion.
pub fn completion(daemon: &Daemon, prompt: &str) -> Request {
    let mut request = request(daemon, Method::Post, COMPLETIONS_PATH);
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": 4_000 });
    request.set_body(body.to_string());
    request.insert_header("content-type", "application/json");
    insert_caller(&mut request, LONG_DEADLINE_MS);
    request
}

/// Builds a call of the service that isn't idempotent.
pub fn label_call(daemon: &Daemon, body: &str, ticket: Option<Ticket>) -> Request {
    let mut request = request(daemon, Method::Post, "/v1/services/labels");
    request.set_body(body);
    insert_caller(&mut request, LONG_DEADLINE_MS);
    if let Some(ticket) = ticket {
        request.insert_header(TICKET_HEADER, ticket.to_string());
    }
    request
}

fn insert_caller(request: &mut Request, deadline_ms: u64) {
    request.insert_header(ACCOUNT_HEADER, ACCOUNT);
    request.insert_header("authorization", format!("Bearer {CALLER_KEY}"));
    request.insert_header(DEADLINE_HEADER, deadline_ms.to_string());
}

/// Sends a request over a new connection.
pub async fn send(daemon: &Daemon, request: Request) -> Response {
    let stream = TcpStream::connect(daemon.caller_address()).await.unwrap();
    async_h1::connect(stream, request).await.unwrap()
}

/// Sends a request and reads the complete answer.
pub async fn send_and_read(daemon: &Daemon, request: Request) -> FullAnswer {
    read_answer(send(daemon, request).await).await
}

/// Reads the complete answer: a stream, a service's answer or an outcome alone.
pub async fn read_answer(mut response: Response) -> FullAnswer {
    let status = response.status().into();
    let retry_after = response
        .header("retry-after")
        .map(|value| value.last().as_str().to_owned());
    let mut body = String::new();
    response.read_to_string(&mut body).await.unwrap();
    let body = body.trim_start();
    let streamed = body.starts_with("data: ") || body.starts_with("event: ");
    let (text, outcome) = if streamed {
        read_events(body)
    } else {
        (body.to_owned(), outcome_of(&response, body))
    };
    FullAnswer {
        status,
        text,
        outcome,
        retry_after,
    }
}

/// Sends raw bytes and reads the answer.
pub async fn send_raw(daemon: &Daemon, bytes: &[u8]) -> FullAnswer {
    use async_std::io::WriteExt;
    let mut stream = TcpStream::connect(daemon.caller_address()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    read_answer(async_h1::client::decode(stream).await.unwrap()).await
}

/// Reads the first chunk of a streamed answer.
pub async fn read_first_chunk(response: &mut Response) -> CompletionChunk {
    let mut line = String::new();
    response.read_line(&mut line).await.unwrap();
    serde_json::from_str(line.strip_prefix("data: ").unwrap()).unwrap()
}

fn read_events(body: &str) -> (String, Outcome) {
    let events: Vec<&str> = body.trim_end().split("\n\n").collect();
    let [chunks @ .., outcome, done] = events.as_slice() else {
        panic!("the stream lacks its outcome or its end: {body}");
    };
    assert_eq!(*done, "data: [DONE]");
    let text = chunks.iter().map(|event| {
        let json = event.strip_prefix("data: ").unwrap();
        let chunk: CompletionChunk = serde_json::from_str(json).unwrap();
        chunk.choices[0].text.clone()
    });
    let outcome = outcome.strip_prefix("event: outcome\ndata: ").unwrap();
    (text.collect(), serde_json::from_str(outcome).unwrap())
}

/// Returns an answer's outcome. A service's own answer has it in headers, any other in the body.
fn outcome_of(response: &Response, body: &str) -> Outcome {
    serde_json::from_str(body).unwrap_or_else(|_not_json| {
        let header = |name| response.header(name).unwrap().last().as_str();
        let json = json!({
            "request": header("whinlatch-request"), "outcome": header("whinlatch-outcome"),
            "reason": header("whinlatch-reason"), "message": "",
        });
        serde_json::from_value(json).unwrap()
    })
}
