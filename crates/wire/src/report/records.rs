use {
    crate::ids::{InstanceName, RecordKey, Revision},
    serde::{Deserialize, Serialize},
};

/// Response of `GET /v1/records`: the records that a daemon stores and their state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsReport {
    /// Instance that wrote the report.
    pub instance: InstanceName,
    /// Highest revision that it stores.
    pub newest: Revision,
    /// Records in the order of their keys.
    pub records: Vec<RecordStatus>,
}

/// The state of one record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordStatus {
    /// Key under which the record was published.
    pub key: RecordKey,
    /// Newest revision that this instance has received.
    pub revision: Revision,
    /// Revision in force, if any. It is older than `revision` if the newest one was rejected.
    pub in_force: Option<Revision>,
    /// State of the newest revision.
    pub state: RecordState,
    /// Instances known to store the newest revision, including this one.
    pub instances: Vec<InstanceName>,
}

/// The state of one revision of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum RecordState {
    /// The revision is in force.
    InForce,
    /// The revision deleted the record.
    Deleted,
    /// The revision is invalid; the previous valid one stays in force.
    Rejected {
        /// Description of the fault, with the field's path and the remedy.
        reason: String,
    },
}
