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

/// Deadline of each request, in ms; longer than any run.
const DEADLINE_MS: u64 = 300_000;
/// Length of each prompt, in bytes: about a thousand tokens.
const PROMPT_BYTES: usize = 4_000;
/// Text that fills up the prompt.
const FILLER: &str = "a piece of the box inventory, ";
/// Text in the last line of an engine's answer.
const ENGINE_END_MARKER: &str = "\"end\":true";
/// Text in the outcome of a daemon's answer.
const DAEMON_END_MARKER: &str = "\"outcome\":\"completed\"";

/// Latencies of an answer.
#[derive(Debug, Clone, Copy)]
pub struct Latencies {
    /// Time to the first chunk.
    pub first_chunk: Duration,
    /// Time to the end.
    pub whole: Duration,
}

/// An answer whose first chunk has been read.
#[derive(Debug)]
pub struct OpenAnswer {
    lines: Lines<Response>,
    started_at: Instant,
    first_chunk: Duration,
}

/// Returns a prompt, the same for engine and daemon. `number` makes it differ from others.
pub fn prompt(model: &str, number: u32, max_tokens: u32) -> CompletionRequest {
    let mut prompt = format!("prompt {number}\n");
    while prompt.len() < PROMPT_BYTES {
        prompt.push_str(FILLER);
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

/// Sends a prompt to an engine as a daemon does, and reads the complete answer.
pub async fn request_engine(
    engine: SocketAddr,
    incarnation: Incarnation,
    prompt: &CompletionRequest,
) -> Result<Latencies, PathError> {
    let body = GenerateRequest {
        attempt: AttemptId(fastrand::u128(..)),
        owner: Incarnation(1),
        expect_incarnation: incarnation,
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
    open_answer("the request to the engine", engine, request)
        .await?
        .finish(ENGINE_END_MARKER)
        .await
}

/// Sends a prompt to a daemon and reads the complete answer.
pub async fn request_daemon(
    daemon: SocketAddr,
    prompt: &CompletionRequest,
) -> Result<Latencies, PathError> {
    open_at_daemon(daemon, prompt)
        .await?
        .finish(DAEMON_END_MARKER)
        .await
}

/// Sends a prompt to a daemon and reads up to the first chunk of the answer.
pub async fn open_at_daemon(
    daemon: SocketAddr,
    prompt: &CompletionRequest,
) -> Result<OpenAnswer, PathError> {
    let mut request = json_request(daemon, COMPLETIONS_PATH, prompt);
    request.insert_header(ACCOUNT_HEADER, ACCOUNT);
    request.insert_header("authorization", format!("Bearer {KEY}"));
    request.insert_header(DEADLINE_HEADER, DEADLINE_MS.to_string());
    open_answer("the request to the daemon", daemon, request).await
}

/// Sends a request and reads up to the first chunk of the answer.
async fn open_answer(
    description: &'static str,
    address: SocketAddr,
    request: Request,
) -> Result<OpenAnswer, PathError> {
    let started_at = Instant::now();
    let response = send(description, address, request).await?;
    let mut lines = response.lines();
    while let Some(line) = lines.next().await {
        let line = line.map_err(|error| incomplete_response(description, &error))?;
        if line.starts_with("data:") {
            let first_chunk = started_at.elapsed();
            return Ok(OpenAnswer {
                lines,
                started_at,
                first_chunk,
            });
        }
    }
    Err(incomplete_response(
        description,
        &"the answer ended before its first chunk",
    ))
}

impl OpenAnswer {
    /// Reads the rest, which must contain a line with `end_marker`.
    async fn finish(mut self, end_marker: &str) -> Result<Latencies, PathError> {
        let mut is_complete = false;
        while let Some(line) = self.lines.next().await {
            let line =
                line.map_err(|error| incomplete_response("reading the rest of an answer", &error))?;
            is_complete = is_complete || line.contains(end_marker);
        }
        if !is_complete {
            return Err(incomplete_response(
                "reading the rest of an answer",
                &"the end of the answer is missing",
            ));
        }
        Ok(Latencies {
            first_chunk: self.first_chunk,
            whole: self.started_at.elapsed(),
        })
    }
}

/// Sends a GET request and decodes the JSON response.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, PathError> {
    const REQUEST: &str = "the request for a report";
    let request = Request::new(Method::Get, url(address, path));
    let mut response = send(REQUEST, address, request).await?;
    let mut body = Vec::new();
    response
        .read_to_end(&mut body)
        .await
        .map_err(|error| incomplete_response(REQUEST, &error))?;
    serde_json::from_slice(&body).map_err(|error| incomplete_response(REQUEST, &error))
}

/// Sends a POST request with a JSON body to a stand-in and drops the response.
pub async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> Result<(), PathError> {
    send(
        "the request to a stand-in",
        address,
        json_request(address, path, body),
    )
    .await
    .map(drop)
}

/// Sends a request over a new connection. Any status but 200 is an error.
async fn send(
    description: &'static str,
    address: SocketAddr,
    request: Request,
) -> Result<Response, PathError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| incomplete_response(description, &error))?;
    stream
        .set_nodelay(true)
        .map_err(|error| incomplete_response(description, &error))?;
    let mut response = async_h1::connect(stream, request)
        .await
        .map_err(|error| incomplete_response(description, &error))?;
    if response.status() == StatusCode::Ok {
        return Ok(response);
    }
    let text = response.body_string().await.unwrap_or_default();
    let detail = format!("status {}: {text}", response.status());
    Err(incomplete_response(description, &detail))
}

fn json_request(address: SocketAddr, path: &str, body: &impl Serialize) -> Request {
    let mut request = Request::new(Method::Post, url(address, path));
    request.set_body(serde_json::to_vec(body).expect("requests always serialize"));
    request.insert_header("content-type", "application/json");
    request
}

fn url(address: SocketAddr, path: &str) -> Url {
    Url::parse(&format!("http://{address}{path}")).expect("the address and path form a valid URL")
}

fn incomplete_response(request: &'static str, detail: &impl ToString) -> PathError {
    PathError::IncompleteResponse {
        request,
        detail: detail.to_string(),
    }
}
