use {
    crate::{caller::Outcome, ids::RequestId},
    serde::{Deserialize, Serialize},
};

/// Why a request went where it did. Answer of `GET /v1/decisions/{request}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionReport {
    /// The request.
    pub request: RequestId,
    /// What was decided, oldest first.
    pub steps: Vec<DecisionStep>,
    /// How it ended, if it has.
    pub outcome: Option<Outcome>,
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionStep {
    /// Since the request was taken in, in ms.
    pub after_ms: u64,
    /// The part that decided, as in the prefix of its log lines.
    pub part: String,
    /// The decision in a short sentence.
    pub text: String,
}
