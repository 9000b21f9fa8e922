use {
    crate::standin::ANY_PORT,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        platform::{InstanceList, MAX_VALUE_BYTES},
    },
};

/// How a platform starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformOptions {
    /// Where to listen.
    pub listen: SocketAddr,
    /// How late changes of the list of instances show.
    pub instance_lag_ms: u64,
    /// Reads in any second, over all readers.
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

/// How the platform behaves towards its readers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformMode {
    /// As it should.
    Normal,
    /// Answers 503 at once.
    Down,
    /// Accepts and says nothing.
    Silent,
    /// Serves the records as of the present revision from now on.
    Stale,
    /// Serves the records as of an earlier revision.
    StaleAsOf(Revision),
    /// Answers later by so many ms.
    SlowMs(u64),
}

/// What only the operator's side and tests may do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformControl {
    /// Changes a record.
    Publish {
        /// Key of the record.
        key: RecordKey,
        /// The value, up to 1 MB; none deletes the record.
        value: Option<String>,
    },
    /// Sets the list of instances. Its version is ignored.
    Instances(InstanceList),
    /// Sets how late changes of the list show from now on.
    InstanceLagMs(u64),
    /// Sets how the platform behaves towards its readers.
    Mode(PlatformMode),
    /// Forgets how the records came to be: readers get 410 once.
    ForgetHistory {
        /// Whether deleted records leave no trace, so that only their absence tells.
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

/// Answer to a control request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The revision afterwards; that of the change, where a record was published.
    pub revision: Revision,
}

/// What was read and refused so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Present revision, whatever readers are served.
    pub revision: Revision,
    /// Reads and watches of records, refused ones included.
    pub record_reads: u64,
    /// Reads of the list of instances, refused ones included.
    pub instance_reads: u64,
    /// Reads refused because the budget was used up.
    pub refused: u64,
    /// Most reads that were allowed within one second.
    pub most_reads_in_1_s: usize,
}
