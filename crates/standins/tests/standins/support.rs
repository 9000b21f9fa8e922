//! What the tests of the fakes share: requests, and a client that reads whole answers.

use {
    async_std::net::TcpStream,
    http_types::{Body, Method, Request, Response, StatusCode, Url},
    serde::{Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
    whinlatch_standins::EngineOptions,
    whinlatch_wire::{
        ids::{AttemptId, Incarnation, ModelName},
        record::ServedModel,
        target::{GENERATE_PATH, GenerateRequest, Refusal, RefusalReason, StreamChunk},
    },
};

/// How a prompt ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Ended {
    Whole(Vec<StreamChunk>),
    Broken,
    Refused(RefusalReason),
}

pub fn engine_options() -> EngineOptions {
    EngineOptions {
        models: vec![ServedModel {
            model: ModelName::from("m"),
            adapter: None,
            version: 1,
        }],
        tokens_scale: 1_000.0,
        report_lag_ms: 0,
        event_lag_ms: 0,
        ..EngineOptions::default()
    }
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

/// Posts a body; gives status and answer, or nothing where the connection broke.
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

/// Reads a JSON answer, or the status where it isn't 200.
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

/// Runs a prompt to its end.
pub async fn generate(address: SocketAddr, request: &GenerateRequest) -> Ended {
    let Some((status, text)) = post(address, GENERATE_PATH, request).await else {
        return Ended::Broken;
    };
    if status != StatusCode::Ok {
        let refusal: Refusal = serde_json::from_str(&text).expect("a refusal");
        return Ended::Refused(refusal.reason);
    }
    let chunks = text
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    Ended::Whole(
        chunks
            .map(|chunk| serde_json::from_str(chunk).expect("a chunk"))
            .collect(),
    )
}
