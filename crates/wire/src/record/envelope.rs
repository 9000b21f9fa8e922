use {
    crate::ids::{RecordKey, Revision},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A record as stored and passed on: its key, its revision and its bytes untouched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEnvelope {
    /// Key of the record.
    pub key: RecordKey,
    /// Revision at which the record was last changed.
    pub revision: Revision,
    /// The value as published, or `None` for a tombstone: the record was deleted at `revision`.
    pub value: Option<Arc<str>>,
}
