use {
    crate::ids::{AdapterName, ModelName, RequestId},
    serde::{Deserialize, Serialize},
};

/// Bytes of text that count as one token where the caller states no count.
const BYTES_PER_TOKEN: u64 = 4;

/// Tokens that a prompt of `bytes` bytes is taken to have, at least one.
pub fn estimated_tokens(bytes: usize) -> u64 {
    (bytes as u64).div_ceil(BYTES_PER_TOKEN).max(1)
}

/// Body of `POST /v1/completions`. Fields of other model interfaces are accepted and ignored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Model that is asked for.
    pub model: ModelName,
    /// Adapter of the model, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: String,
    /// Most tokens that the answer may have.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Must be true or absent: answers are always streamed.
    #[serde(default = "always")]
    pub stream: bool,
}

/// Tokens of an answer where the caller states none.
const DEFAULT_MAX_TOKENS: u32 = 256;

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

fn always() -> bool {
    true
}

/// One server-sent event of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// The request that is answered.
    pub id: RequestId,
    /// Always `text_completion`.
    pub object: String,
    /// Model that answers.
    pub model: ModelName,
    /// The one choice.
    pub choices: Vec<CompletionChoice>,
}

/// Part of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Always 0.
    pub index: u32,
    /// The text of this part.
    pub text: String,
    /// `stop` in the last part, else absent.
    #[serde(default)]
    pub finish_reason: Option<String>,
}
