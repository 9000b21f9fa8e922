use {
    crate::ids::{AccountName, AdapterName, CallerName, ModelName, ProviderName, ServiceName},
    serde::{Deserialize, Serialize},
};

/// What a route is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type", deny_unknown_fields)]
pub enum RouteSubject {
    /// Prompts for a model.
    Model {
        /// Model that callers name.
        model: ModelName,
        /// Adapter that callers name, if any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<AdapterName>,
    },
    /// Calls of a plain service.
    Service {
        /// Service that callers name.
        service: ServiceName,
        /// Whether a call may be run more than once.
        idempotent: bool,
    },
}

/// Part of the traffic that goes to one provider.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProviderShare {
    /// The provider.
    pub provider: ProviderName,
    /// Version of the model that this provider must serve; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u32>,
    /// Share of the traffic in thousandths. The shares of a route add up to 1,000.
    pub share_per_mille: u32,
}

/// States which client accounts and callers a model or service is for, and which provider serves
/// what share. Schema 1 wrote `share_percent` for `old` and `new`; schema 2 lists providers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRecord {
    /// What is routed.
    pub subject: RouteSubject,
    /// Client accounts that may use the route; empty means all.
    pub accounts: Vec<AccountName>,
    /// Callers that may use the route; empty means all.
    pub callers: Vec<CallerName>,
    /// Shares of the providers, in the order of the record.
    pub providers: Vec<ProviderShare>,
}
