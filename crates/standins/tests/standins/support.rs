//! Requests and a small HTTP client for the tests of the fakes.

use {
    async_std::net::TcpStream,
    http_types::{Body, Method, Request, Response, StatusCode, Url},
    serde::{Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
    whinlatch_standins::{Engine, EngineOptions},
    whinlatch_wire::{
        ids::{AttemptId, Incarnation, ModelName},
        record::ServedModel,
        target::{GENERATE_PATH, GenerateRequest, Refusal, RefusalReason, StreamChunk},
    },
};

/// Outcome of a prompt.
#[derive(Debug, PartialEq, Eq)]
pub enum PromptEnd {
    /// All chunks of the answer.
    Complete(Vec<StreamChunk>),
    /// The connection broke before the end of the answer.
    Broken,
    Refused(RefusalReason),
}

pub fn served_model(version: u32) -> ServedModel {
    ServedModel {
        model: ModelName::from("m"),
        adapter: None,
        version,
    }
}

/// Options of an engine fast enough that tests don't wait for it.
pub fn fast_engine() -> EngineOptions {
    EngineOptions {
        models: vec![served_model(1)],
        tokens_scale: 10_000.0,
        report_lag_ms: 0,
        event_lag_ms: 0,
        load_ms: 1,
        ..EngineOptions::default()
    }
}

/// Options of an engine so slow that no prompt completes within a test.
pub fn stuck_engine() -> EngineOptions {
    EngineOptions {
        tokens_scale: 0.000_1,
        ..fast_engine()
    }
}

pub async fn start(options: EngineOptions) -> Engine {
    Engine::start(options).await.expect("a free port")
}

pub fn prompt(attempt: u128, incarnation: Incarnation, prompt_tokens: u64) -> GenerateRequest {
    GenerateRequest {
        attempt: AttemptId(attempt),
        owner: Incarnation(1),
        expect_incarnation: incarnation,
        deadline_ms: 60_000,
        priority: 5,
        model: ModelName::from("m"),
        adapter: None,
        version: None,
        prompt: format!("key-{attempt}\nthe prompt"),
        prompt_tokens,
        prefix_hashes: Vec::new(),
        max_tokens: 10,
        resume_after: None,
        reservation: None,
        group: Vec::new(),
    }
}

async fn call(address: SocketAddr, method: Method, path: &str, body: Body) -> Option<Response> {
    let url = Url::parse(&format!("http://{address}{path}")).expect("a path");
    let mut request = Request::new(method, url);
    request.set_body(body);
    let stream = TcpStream::connect(address).await.ok()?;
    async_h1::connect(stream, request).await.ok()
}

/// Posts a JSON body. Returns the status and the text of the response, or `None` if the connection broke.
pub async fn post(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Option<(StatusCode, String)> {
    let body = Body::from_json(body).expect("serializable");
    let mut response = call(address, Method::Post, path, body).await?;
    let text = response.body_string().await.ok()?;
    Some((response.status(), text))
}

/// Posts a JSON body and parses the JSON response; `None` if either fails.
pub async fn post_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Option<T> {
    let (_status, text) = post(address, path, body).await?;
    serde_json::from_str(&text).ok()
}

/// Fetches a JSON document. Returns the status if it isn't 200, and 502 if the connection broke.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, StatusCode> {
    let response = call(address, Method::Get, path, Body::empty()).await;
    let mut response = response.ok_or(StatusCode::BadGateway)?;
    if response.status() != StatusCode::Ok {
        return Err(response.status());
    }
    Ok(response
        .body_json()
        .await
        .expect("the documented JSON body"))
}

/// Sends a prompt and reads the answer to its end.
pub async fn generate(address: SocketAddr, request: &GenerateRequest) -> PromptEnd {
    let Some((status, text)) = post(address, GENERATE_PATH, request).await else {
        return PromptEnd::Broken;
    };
    if status != StatusCode::Ok {
        let refusal: Refusal = serde_json::from_str(&text).expect("a refusal");
        return PromptEnd::Refused(refusal.reason);
    }
    let chunks = text
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    PromptEnd::Complete(
        chunks
            .map(|chunk| serde_json::from_str(chunk).expect("a chunk"))
            .collect(),
    )
}

/// Runs a future in the background of the test.
pub fn spawn<T: Send + 'static>(
    work: impl Future<Output = T> + Send + 'static,
) -> async_std::task::JoinHandle<T> {
    async_std::task::spawn(work)
}

/// Yields to other tasks until a condition holds. There is no timeout: the test runner ends a test that
/// hangs.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        async_std::task::yield_now().await;
    }
}

pub fn text(chunks: &[StreamChunk]) -> String {
    chunks.iter().map(|chunk| chunk.text.as_str()).collect()
}
