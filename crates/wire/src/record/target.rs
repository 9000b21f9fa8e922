use {
    crate::ids::{AdapterName, FailureDomain, ModelName, ProviderName, ServiceName, TargetName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The kind of a target and what it serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type", deny_unknown_fields)]
pub enum TargetRole {
    /// A model engine, which runs prompts.
    Engine {
        /// Models, adapters and versions that it must have loaded.
        models: Vec<ServedModel>,
        /// Capacity of its KV cache, in tokens.
        memory_tokens: u64,
        /// Prefill rate in prompt tokens per second, as configured by the operator. Initial
        /// estimate that is corrected by the measured rate.
        prefill_tokens_per_s: u64,
        /// Whether it refuses an order whose fencing number is lower than one it has seen.
        enforces_fencing: bool,
    },
    /// A plain service, which runs calls.
    Service {
        /// Name of the service.
        service: ServiceName,
    },
}

/// A model that an engine must have loaded.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServedModel {
    /// Name of the model.
    pub model: ModelName,
    /// Name of the adapter to load with the model; absent for the plain model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Version of the model's weights.
    pub version: u32,
}

/// A target that the system may route to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRecord {
    /// Name that identifies the target in the fleet.
    pub target: TargetName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Provider that it belongs to.
    pub provider: ProviderName,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Kind of the target, with the settings of that kind.
    pub role: TargetRole,
}
