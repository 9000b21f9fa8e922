use {
    crate::{caller::Outcome, ids::RequestId},
    serde::{Deserialize, Serialize},
};

/// Response of `GET /v1/decisions/{request}`: the decisions that one request went through.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionReport {
    /// Id of the request.
    pub request: RequestId,
    /// Decisions, oldest first.
    pub steps: Vec<DecisionStep>,
    /// Result of the request; absent while it is in progress.
    pub outcome: Option<Outcome>,
}

/// One decision about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionStep {
    /// Time from the arrival of the request to the decision, in ms.
    pub after_ms: u64,
    /// Subsystem that decided, named as in the prefix of its log lines.
    pub part: String,
    /// The decision in one short sentence.
    pub text: String,
}
