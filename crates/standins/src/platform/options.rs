use {
    crate::standin::ANY_PORT,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        platform::{InstanceList, MAX_VALUE_BYTES},
    },
};

/// Settings of a platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformOptions {
    /// Address to listen on; a free loopback port by default.
    pub listen: SocketAddr,
    /// Delay after which changes of the list of instances are visible, in ms.
    pub instance_lag_ms: u64,
    /// Maximum number of reads within any second, over all readers.
    pub reads_per_s: usize,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: ANY_PORT,
            instance_lag_ms: 0,
            reads_per_s: 2_000,
        }
    }
}

/// How the platform answers its readers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformMode {
    /// Answers normally.
    Normal,
    /// Answers 503 immediately.
    Down,
    /// Accepts connections and never answers.
    Silent,
    /// Serves the records as of the revision at which this mode was set.
    Stale,
    /// Serves the records as of an earlier revision.
    StaleAsOf(Revision),
    /// Delays answers by this many ms.
    SlowMs(u64),
}

/// Control message, by which operators and tests change the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformControl {
    /// Publishes or deletes a record.
    Publish {
        /// Key of the record.
        key: RecordKey,
        /// Value of up to 1 MB; `None` deletes the record.
        value: Option<String>,
    },
    /// Sets the list of instances. Its version is ignored.
    Instances(InstanceList),
    /// Sets the delay of later changes of the list, in ms.
    InstanceLagMs(u64),
    /// Sets how the platform answers its readers.
    Mode(PlatformMode),
    /// Drops the history of the records: readers with an older revision get 410 and have to read all
    /// records again.
    ForgetHistory {
        /// Whether tombstones are dropped too, so that only the absence of a record shows its deletion.
        drop_tombstones: bool,
    },
}

impl PlatformControl {
    pub(super) fn is_too_large(&self) -> bool {
        let Self::Publish {
            value: Some(value), ..
        } = self
        else {
            return false;
        };
        value.len() > MAX_VALUE_BYTES
    }
}

/// Response to a control message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlResponse {
    /// Revision after the message; for a published record, the revision of that change.
    pub revision: Revision,
}

/// Number of reads and refusals so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Current revision, even if readers are served an older one.
    pub revision: Revision,
    /// Reads and watches of records, including refused ones.
    pub record_reads: u64,
    /// Reads of the list of instances, including refused ones.
    pub instance_reads: u64,
    /// Reads refused because they exceeded `reads_per_s`.
    pub refused: u64,
    /// Maximum number of reads that were allowed within one second.
    pub most_reads_in_1_s: usize,
}
