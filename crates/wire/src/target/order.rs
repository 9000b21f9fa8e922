use {
    crate::{
        ids::{Incarnation, Revision},
        record::ServedModel,
    },
    serde::{Deserialize, Serialize},
};

/// The phases of a prompt that an engine runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineMode {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// A request to an engine to change to a state. It contains the complete state and is therefore
/// idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number: the revision of the records from which the state was derived.
    pub fence: Revision,
    /// Run of the engine that the order is for.
    pub expect_incarnation: Incarnation,
    /// Complete set of models, with adapters and versions, to have loaded.
    pub models: Vec<ServedModel>,
    /// Phases to run.
    pub mode: EngineMode,
}

/// An engine's decision on an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderVerdict {
    /// The engine is in the requested state already.
    Holds,
    /// The engine has started to change its state.
    Begun,
    /// Another order is in progress.
    Busy,
    /// The fencing number is lower than one already seen.
    OldFence,
    /// The order was for another run of the engine.
    OtherIncarnation,
}

/// The response to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Decision of the engine.
    pub verdict: OrderVerdict,
}

/// Response of `GET /v1/state`: the engine state that orders change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Models that are loaded, with adapters and versions.
    pub models: Vec<ServedModel>,
    /// Phases that the engine runs.
    pub mode: EngineMode,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Highest fencing number that the engine has seen.
    pub fence: Revision,
    /// Number of orders that started a change of state.
    pub orders_begun: u64,
}
