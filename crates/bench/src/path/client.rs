use {
    super::{
        errors::PathError,
        setup::{ACCOUNT, KEY},
    },
    async_std::net::TcpStream,
    futures::{AsyncBufReadExt, AsyncReadExt, io::Lines, stream::StreamExt},
    http_types::{Method, Request, Response, StatusCode, Url},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    whinlatch_wire::{
        caller::{
            ACCOUNT_HEADER, COMPLETIONS_PATH, CompletionRequest, DEADLINE_HEADER, estimated_tokens,
        },
        ids::{AttemptId, Incarnation},
        target::{GENERATE_PATH, GenerateRequest},
    },
};

/// Time for a request: longer than any run.
const DEADLINE_MS: u64 = 300_000;
/// Length of a short prompt: a thousand tokens.
const PROMPT_BYTES: usize = 4_000;
/// What the prompt is filled up with.
const FILLING: &str = "a piece of the box inventory, ";
/// What the last line of an engine's answer has.
const ENGINE_END: &str = "\"end\":true";
/// What the outcome of a daemon's answer has.
const DAEMON_END: &str = "\"outcome\":\"completed\"";

/// Times of one answer.
#[derive(Debug, Clone, Copy)]
pub struct Timed {
    /// To the first piece.
    pub first_chunk: Duration,
    /// To the end.
    pub whole: Duration,
}

/// An answer with its first piece read.
#[derive(Debug)]
pub struct Begun {
    lines: Lines<Response>,
    since: Instant,
    first_chunk: Duration,
}

/// The same prompt for both ways.
pub fn prompt(model: &str, number: u32, max_tokens: u32) -> CompletionRequest {
    let mut prompt = format!("prompt {number}\n");
    while prompt.len() < PROMPT_BYTES {
        prompt.push_str(FILLING);
    }
    prompt.truncate(PROMPT_BYTES);
    CompletionRequest {
        model: model.into(),
        adapter: None,
        prompt,
        max_tokens,
        stream: true,
    }
}

/// Asks an engine, as a daemon does, and reads the whole answer.
pub async fn ask_engine(
    engine: SocketAddr,
    run: Incarnation,
    prompt: &CompletionRequest,
) -> Result<Timed, PathError> {
    let body = GenerateRequest {
        attempt: AttemptId(fastrand::u128(..)),
        owner: Incarnation(1),
        expect_incarnation: run,
        deadline_ms: DEADLINE_MS,
        priority: 5,
        model: prompt.model.clone(),
        adapter: None,
        version: Some(1),
        prompt: prompt.prompt.clone(),
        prompt_tokens: estimated_tokens(prompt.prompt.len()),
        prefix_hashes: Vec::new(),
        max_tokens: prompt.max_tokens,
        resume_after: None,
        reservation: None,
        group: Vec::new(),
    };
    let request = json_request(engine, GENERATE_PATH, &body);
    begin("the engine's answer", engine, request)
        .await?
        .finish(ENGINE_END)
        .await
}

/// Asks a daemon and reads the whole answer.
pub async fn ask_daemon(
    daemon: SocketAddr,
    prompt: &CompletionRequest,
) -> Result<Timed, PathError> {
    begin_at_daemon(daemon, prompt)
        .await?
        .finish(DAEMON_END)
        .await
}

/// Asks a daemon and reads the first piece of the answer.
pub async fn begin_at_daemon(
    daemon: SocketAddr,
    prompt: &CompletionRequest,
) -> Result<Begun, PathError> {
    let mut request = json_request(daemon, COMPLETIONS_PATH, prompt);
    request.insert_header(ACCOUNT_HEADER, ACCOUNT);
    request.insert_header("authorization", format!("Bearer {KEY}"));
    request.insert_header(DEADLINE_HEADER, DEADLINE_MS.to_string());
    begin("the daemon's answer", daemon, request).await
}

async fn begin(
    what: &'static str,
    address: SocketAddr,
    request: Request,
) -> Result<Begun, PathError> {
    let since = Instant::now();
    let response = send(what, address, request).await?;
    let mut lines = response.lines();
    while let Some(line) = lines.next().await {
        let line = line.map_err(|error| no_answer(what, &error))?;
        if line.starts_with("data:") {
            let first_chunk = since.elapsed();
            return Ok(Begun {
                lines,
                since,
                first_chunk,
            });
        }
    }
    Err(no_answer(what, &"it ended without a piece"))
}

impl Begun {
    /// Reads the rest, which must have `end` in it.
    async fn finish(mut self, end: &str) -> Result<Timed, PathError> {
        let mut whole = false;
        while let Some(line) = self.lines.next().await {
            let line = line.map_err(|error| no_answer("the rest of an answer", &error))?;
            whole = whole || line.contains(end);
        }
        if !whole {
            return Err(no_answer("the rest of an answer", &"its end is missing"));
        }
        Ok(Timed {
            first_chunk: self.first_chunk,
            whole: self.since.elapsed(),
        })
    }
}

/// Reads a path.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, PathError> {
    const WHAT: &str = "a report";
    let request = Request::new(Method::Get, url(address, path));
    let mut response = send(WHAT, address, request).await?;
    let mut body = Vec::new();
    response
        .read_to_end(&mut body)
        .await
        .map_err(|error| no_answer(WHAT, &error))?;
    serde_json::from_slice(&body).map_err(|error| no_answer(WHAT, &error))
}

/// Sends an order to a fake.
pub async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> Result<(), PathError> {
    send("an order", address, json_request(address, path, body))
        .await
        .map(drop)
}

async fn send(
    what: &'static str,
    address: SocketAddr,
    request: Request,
) -> Result<Response, PathError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| no_answer(what, &error))?;
    stream
        .set_nodelay(true)
        .map_err(|error| no_answer(what, &error))?;
    let mut response = async_h1::connect(stream, request)
        .await
        .map_err(|error| no_answer(what, &error))?;
    if response.status() == StatusCode::Ok {
        return Ok(response);
    }
    let text = response.body_string().await.unwrap_or_default();
    let why = format!("status {}: {text}", response.status());
    Err(no_answer(what, &why))
}

fn json_request(address: SocketAddr, path: &str, body: &impl Serialize) -> Request {
    let mut request = Request::new(Method::Post, url(address, path));
    request.set_body(serde_json::to_vec(body).expect("requests are plain data"));
    request.insert_header("content-type", "application/json");
    request
}

fn url(address: SocketAddr, path: &str) -> Url {
    Url::parse(&format!("http://{address}{path}")).expect("the paths are plain")
}

fn no_answer(what: &'static str, why: &impl ToString) -> PathError {
    PathError::NoAnswer {
        what,
        why: why.to_string(),
    }
}
