//! What the platform's configuration service and its list of instances say. Both can only be read.
//!
//! `GET /v1/records?after=REVISION&wait_ms=N` answers with [`RecordPage`], at once if there is
//! news after the revision, else when there is some or the wait is over. `410` says that the
//! history after that revision is gone: read again with `after=0`. `429` says that the read
//! budget is used up. `GET /v1/instances` answers with [`InstanceList`], which lags.

use {
    crate::{
        ids::{FailureDomain, Incarnation, InstanceName, Revision, TargetName},
        record::RecordEnvelope,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Path of the records in the platform's service.
pub const RECORDS_PATH: &str = "/v1/records";
/// Path of the list of instances in the platform's service.
pub const INSTANCES_PATH: &str = "/v1/instances";
/// Largest value of a record, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

/// Records changed after the revision that was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// Revision of the service when it answered. Continue the watch from here, or from the last
    /// record's revision when `more` is set.
    pub revision: Revision,
    /// The records in order of their revisions, tombstones among them.
    pub records: Vec<RecordEnvelope>,
    /// Whether the page was cut and another read is due at once.
    #[serde(default)]
    pub more: bool,
}

/// Whether a listed process serves or is about to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Serves.
    Live,
    /// Is about to leave and must get no new work.
    Leaving,
}

/// A daemon as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedDaemon {
    /// The instance it runs on.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Serving or leaving.
    pub state: ListedState,
}

/// A target as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Name of the target, as in its record.
    pub target: TargetName,
    /// The run of the target.
    pub incarnation: Incarnation,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Serving or leaving.
    pub state: ListedState,
}

/// The platform's lagging list of what is live and what is leaving.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Grows with each change of the list.
    pub version: u64,
    /// The daemons' instances.
    pub daemons: Vec<ListedDaemon>,
    /// The targets.
    pub targets: Vec<ListedTarget>,
}
