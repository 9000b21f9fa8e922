use {
    crate::ids::{AccountName, AdapterName, CallerName, ModelName, ProviderName, ServiceName},
    serde::{Deserialize, Serialize},
};

/// The model or service that a route serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type", deny_unknown_fields)]
pub enum RouteSubject {
    /// Prompts for a model.
    Model {
        /// Name of the model as callers request it.
        model: ModelName,
        /// Name of the adapter as callers request it; absent for the plain model.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<AdapterName>,
    },
    /// Calls to a plain service.
    Service {
        /// Name of the service as callers request it.
        service: ServiceName,
        /// Whether a call may safely run more than once. If not, callers need a ticket.
        idempotent: bool,
    },
}

/// The share of a route's traffic that goes to one provider.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProviderShare {
    /// Provider that gets the traffic.
    pub provider: ProviderName,
    /// Version of the model that this provider must serve; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u32>,
    /// Share of the traffic in thousandths. The shares of a route add up to 1,000.
    pub share_per_mille: u32,
}

/// Access to a model or service and the split of its traffic over providers. Schema 1 gives the
/// percentage of the provider `new`, the rest goes to `old`; schema 2 lists the providers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRecord {
    /// Model or service that is routed.
    pub subject: RouteSubject,
    /// Client accounts that may use the route; empty means all.
    pub accounts: Vec<AccountName>,
    /// Callers that may use the route; empty means all.
    pub callers: Vec<CallerName>,
    /// Shares of the providers, in the order of the record.
    pub providers: Vec<ProviderShare>,
}
