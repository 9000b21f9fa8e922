use {
    super::{Hello, HelloProof, MemberStamp, News},
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
    /// All daemons that the sender holds to be alive. What it lacks is told in answer.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub alive: Vec<MemberStamp>,
    /// Asks for records.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pull: Option<RecordPull>,
    /// Answers a pull by buckets.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listing: Option<RecordListing>,
    /// Records, tombstones among them.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<RecordEnvelope>,
    /// Whether this is the last frame of the answer to a pull by keys.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub pull_done: bool,
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

/// Asks for records that the sender may lack: first by buckets, then by the keys that the listing
/// showed to be of use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RecordPull {
    /// All records after this revision.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<Revision>,
    /// Digests of the sender's buckets; a listing of those that differ is wanted.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub buckets: Vec<u64>,
    /// Hashes of keys; all that is held of these keys is wanted.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<u64>,
}

/// What the sender holds in the buckets whose digests differ from those of a pull.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RecordListing {
    /// A stamp for each record held, tombstones included.
    pub stamps: Vec<RecordStamp>,
}

/// Stands for one record. Travels as an array, since a listing may hold many.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, Revision, u32)", into = "(u64, Revision, u32)")]
pub struct RecordStamp {
    /// Hash of the key.
    pub key_hash: u64,
    /// Revision.
    pub revision: Revision,
    /// Part of the hash of the value; 0 for a tombstone.
    pub value_hash: u32,
}

impl From<(u64, Revision, u32)> for RecordStamp {
    fn from((key_hash, revision, value_hash): (u64, Revision, u32)) -> Self {
        Self {
            key_hash,
            revision,
            value_hash,
        }
    }
}

impl From<RecordStamp> for (u64, Revision, u32) {
    fn from(stamp: RecordStamp) -> Self {
        (stamp.key_hash, stamp.revision, stamp.value_hash)
    }
}
