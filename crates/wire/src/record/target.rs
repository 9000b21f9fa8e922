use {
    crate::ids::{AdapterName, FailureDomain, ModelName, ProviderName, ServiceName, TargetName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a target is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type", deny_unknown_fields)]
pub enum TargetRole {
    /// A model engine.
    Engine {
        /// Models, adapters and versions that it must have loaded.
        models: Vec<ServedModel>,
        /// Tokens that its KV cache holds.
        memory_tokens: u64,
        /// Prompt tokens it reads a second, as its operator states; corrected by what is learnt.
        prefill_tokens_per_s: u64,
        /// Whether it refuses an order with an old fencing number.
        enforces_fencing: bool,
    },
    /// A plain service.
    Service {
        /// The service that it runs.
        service: ServiceName,
    },
}

/// A model that an engine must have loaded.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServedModel {
    /// The model.
    pub model: ModelName,
    /// The adapter, if one is loaded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Version of the weights.
    pub version: u32,
}

/// A target that the system may route to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRecord {
    /// Name of the target.
    pub target: TargetName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Failure domain it stands in.
    pub failure_domain: FailureDomain,
    /// Provider it belongs to.
    pub provider: ProviderName,
    /// Requests it works on at once.
    pub slots: u32,
    /// Engine or plain service.
    pub role: TargetRole,
}
