use {
    crate::ids::{AdapterName, ModelName, RequestId},
    serde::{Deserialize, Serialize},
};

/// Number of bytes that are estimated as one token if the caller gives no token count.
const BYTES_PER_TOKEN: u64 = 4;

/// Estimates the number of tokens in a prompt of `bytes` bytes; at least one.
pub fn estimated_tokens(bytes: usize) -> u64 {
    (bytes as u64).div_ceil(BYTES_PER_TOKEN).max(1)
}

/// Body of `POST /v1/completions`. Unknown fields, as in other model APIs, are ignored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of the requested model.
    pub model: ModelName,
    /// Name of the requested adapter; absent for the plain model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of tokens in the answer; 256 if absent.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Must be true or absent: answers are always streamed.
    #[serde(default = "default_stream")]
    pub stream: bool,
}

/// Value of `max_tokens` if the caller gives none.
const DEFAULT_MAX_TOKENS: u32 = 256;

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

fn default_stream() -> bool {
    true
}

/// One piece of a streamed answer, sent as a server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// Id of the request that the chunk answers.
    pub id: RequestId,
    /// Always `text_completion`.
    pub object: String,
    /// Name of the model, as requested.
    pub model: ModelName,
    /// Exactly one choice.
    pub choices: Vec<CompletionChoice>,
}

/// The content of a chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Always 0.
    pub index: u32,
    /// Text that the chunk adds to the answer.
    pub text: String,
    /// `stop` in the last chunk, otherwise null.
    #[serde(default)]
    pub finish_reason: Option<String>,
}
