use {
    super::{Hello, HelloProof, News},
    crate::{ids::Revision, record::RecordEnvelope},
    serde::{Deserialize, Serialize},
};

/// One message on a link; any of its parts may be absent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerFrame {
    /// Opens a link.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hello: Option<Hello>,
    /// Proves that the sender holds the shared key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub proof: Option<HelloProof>,
    /// Shows that the sender is alive.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub heartbeat: Option<Heartbeat>,
    /// News that is passed on.
    #[serde(skip_serializing_if = "News::is_empty")]
    pub news: News,
    /// Asks for records.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pull: Option<RecordPull>,
    /// Records, tombstones among them.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<RecordEnvelope>,
}

/// Sent at a fixed pace on each link, both ways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Counts the heartbeats of this link.
    pub number: u64,
    /// What the sender holds of the records.
    pub records: RecordSummary,
}

/// Sums up what a daemon holds of the records, so that two can tell whether they agree.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSummary {
    /// Highest revision held.
    pub newest: Revision,
    /// Records held, tombstones included.
    pub count: u64,
    /// Exclusive or of the hashes of all (key, revision) held.
    pub digest: u64,
}

/// Asks for records that the sender may lack.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RecordPull {
    /// All records after this revision.
    pub after: Option<Revision>,
    /// Digests of the sender's buckets; records of buckets that differ are wanted.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub buckets: Vec<u64>,
}
