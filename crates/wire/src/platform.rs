//! Responses of the platform's configuration service and its list of instances. Both are read-only.
//!
//! `GET /v1/records?after=REVISION&wait_ms=N` is a long poll that returns a [`RecordPage`]:
//! immediately if there are changes after the revision, otherwise at the next change or after
//! `wait_ms`. Status `410` means that the history after that revision has been discarded: read
//! again with `after=0`. Status `429` means that the read budget is used up. `GET /v1/instances`
//! returns an [`InstanceList`], which lags behind the actual state.

use {
    crate::{
        ids::{FailureDomain, Incarnation, InstanceName, Revision, TargetName},
        record::RecordEnvelope,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Path of the records at the platform.
pub const RECORDS_PATH: &str = "/v1/records";
/// Path of the list of instances at the platform.
pub const INSTANCES_PATH: &str = "/v1/instances";
/// Maximum size of a record's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

/// Records that changed after the requested revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// Current revision of the service. The next read continues from here, or from the revision of
    /// the last record if `more` is set.
    pub revision: Revision,
    /// Records in the order of their revisions, including tombstones.
    pub records: Vec<RecordEnvelope>,
    /// Whether the page is incomplete and the next read is due immediately.
    #[serde(default)]
    pub more: bool,
}

/// The state of a listed daemon or target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Running.
    Live,
    /// Shutting down; must not get new work.
    Leaving,
}

/// A daemon as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedDaemon {
    /// Instance that the daemon runs on.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Address at which the daemon accepts requests from callers.
    pub caller_address: SocketAddr,
    /// Address at which the daemon accepts peer links.
    pub peer_address: SocketAddr,
    /// Whether the daemon is running or shutting down.
    pub state: ListedState,
}

/// A target as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Name of the target, as in its record.
    pub target: TargetName,
    /// Current incarnation of the target.
    pub incarnation: Incarnation,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Whether the target is running or shutting down.
    pub state: ListedState,
}

/// The platform's list of running daemons and targets, which lags behind the actual state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Version of the list; grows with each change.
    pub version: u64,
    /// Daemons that are running or shutting down.
    pub daemons: Vec<ListedDaemon>,
    /// Targets that are running or shutting down.
    pub targets: Vec<ListedTarget>,
}
