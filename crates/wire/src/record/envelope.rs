use {
    crate::ids::{RecordKey, Revision},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A record as stored and passed on: its key, its revision and its unparsed value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEnvelope {
    /// Key under which the record was published.
    pub key: RecordKey,
    /// Revision at which the record was last changed.
    pub revision: Revision,
    /// Value as published, or `None` for a tombstone: the record was deleted at `revision`.
    pub value: Option<Arc<str>>,
}
