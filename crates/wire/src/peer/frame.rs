use {
    super::{Hello, HelloProof, MemberStamp, News},
    crate::{ids::Revision, record::RecordEnvelope},
    serde::{Deserialize, Serialize},
};

/// One message on a peer link. Any part may be absent; absent parts are not encoded.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerFrame {
    /// Identity of the sender, in its first frame on a link.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hello: Option<Hello>,
    /// Proof that the sender knows the shared peer key, in its second frame on a link.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub proof: Option<HelloProof>,
    /// Liveness signal, with a summary of the sender's records.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub heartbeat: Option<Heartbeat>,
    /// State changes that spread from daemon to daemon.
    #[serde(skip_serializing_if = "News::is_empty")]
    pub news: News,
    /// Stamps of all daemons that the sender considers alive, itself included. The receiver
    /// replies with the member news that the stamps show to be missing or outdated at the sender.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub alive: Vec<MemberStamp>,
    /// Request for records that the sender may lack.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pull: Option<RecordPull>,
    /// Response to a pull by buckets.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listing: Option<RecordListing>,
    /// Records, including tombstones.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<RecordEnvelope>,
    /// Whether this is the last frame of the response to a pull by keys.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub pull_done: bool,
}

/// A liveness signal that both sides of a link send at a fixed interval.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number of the heartbeat on this link.
    pub number: u64,
    /// Summary of the records that the sender stores.
    pub records: RecordSummary,
}

/// A summary of the records that a daemon stores. Two daemons with equal summaries have the same
/// records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSummary {
    /// Highest revision stored.
    pub newest: Revision,
    /// Number of records, tombstones included.
    pub count: u64,
    /// XOR of the hashes of all stored records, each over key, revision and value.
    pub digest: u64,
}

/// A request for records that the sender may lack: first by buckets, then by those keys of the
/// returned listing that the sender lacks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RecordPull {
    /// Requests all records after this revision, if present.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<Revision>,
    /// Digests of all the sender's buckets. Requests a listing of the buckets that differ.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub buckets: Vec<u64>,
    /// Hashes of keys. Requests the records stored under these keys.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<u64>,
}

/// The sender's records in those buckets whose digests differ from the ones in a pull.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RecordListing {
    /// One stamp for each record, tombstones included.
    pub stamps: Vec<RecordStamp>,
}

/// The identity and version of one record without its value. Encoded as an array, without field
/// names, since a listing may contain many.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, Revision, u32)", into = "(u64, Revision, u32)")]
pub struct RecordStamp {
    /// Hash of the record's key.
    pub key_hash: u64,
    /// Revision at which the record was last changed.
    pub revision: Revision,
    /// Low 32 bits of the hash of the value; 0 for a tombstone.
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
