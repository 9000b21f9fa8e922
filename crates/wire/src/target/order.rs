use {
    crate::{
        ids::{Incarnation, Revision},
        record::ServedModel,
    },
    serde::{Deserialize, Serialize},
};

/// What an engine works on.
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

/// Asks an engine to reach a state. The whole state is named, so the order is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number: the revision of the records that the state follows from.
    pub fence: Revision,
    /// The run of the engine that is meant.
    pub expect_incarnation: Incarnation,
    /// Models, adapters and versions to have loaded, and no others.
    pub models: Vec<ServedModel>,
    /// What to work on.
    pub mode: EngineMode,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderVerdict {
    /// The state holds already.
    Holds,
    /// The order has begun.
    Begun,
    /// Another order is in progress.
    Busy,
    /// The fencing number is lower than one already seen.
    OldFence,
    /// Another run of the engine was meant.
    OtherIncarnation,
}

/// Answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// The verdict.
    pub verdict: OrderVerdict,
}

/// The state that orders change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The run of the engine.
    pub incarnation: Incarnation,
    /// Models, adapters and versions that are loaded.
    pub models: Vec<ServedModel>,
    /// What it works on.
    pub mode: EngineMode,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Highest fencing number seen.
    pub fence: Revision,
    /// Orders that began something.
    pub orders_begun: u64,
}
