use {
    crate::ids::{InstanceName, RecordKey, Revision},
    serde::{Deserialize, Serialize},
};

/// Answer of `GET /v1/records`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsReport {
    /// Instance that answers.
    pub instance: InstanceName,
    /// Highest revision that it holds.
    pub newest: Revision,
    /// The records, by key.
    pub records: Vec<RecordStatus>,
}

/// What became of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordStatus {
    /// Key of the record.
    pub key: RecordKey,
    /// Newest revision seen.
    pub revision: Revision,
    /// Revision in force, if any; an older one where the newest was rejected.
    pub in_force: Option<Revision>,
    /// What became of the newest revision.
    pub state: RecordState,
    /// Instances known to hold the newest revision, this one among them.
    pub instances: Vec<InstanceName>,
}

/// What became of a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum RecordState {
    /// It is in force.
    InForce,
    /// It deleted the record.
    Deleted,
    /// It is invalid; the former revision stays in force.
    Rejected {
        /// What is wrong, with the field's path and the remedy.
        reason: String,
    },
}
