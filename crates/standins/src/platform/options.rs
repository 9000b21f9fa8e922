use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    whinlatch_wire::ids::{RecordKey, Revision},
};

/// Where to listen unless told otherwise: a free port.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

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
#[serde(tag = "mode", rename_all = "snake_case", deny_unknown_fields)]
pub enum PlatformMode {
    /// As it should.
    Normal,
    /// Answers 503 at once, or never where `silent` is set.
    Down {
        /// Whether it accepts and says nothing.
        #[serde(default)]
        silent: bool,
    },
    /// Serves the records of an earlier moment.
    Stale {
        /// The revision of that moment; the present one if absent.
        #[serde(default)]
        as_of: Option<Revision>,
    },
    /// Answers late.
    Slow {
        /// How late.
        added_ms: u64,
    },
}

/// Changes a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publish {
    /// Key of the record.
    pub key: RecordKey,
    /// The value; none deletes the record.
    pub value: Option<String>,
}

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The revision that the change got.
    pub revision: Revision,
}

/// Sets how late changes of the list of instances show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceLag {
    /// The lag.
    pub lag_ms: u64,
}

/// Forgets the history of the records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ForgetHistory {
    /// Whether deleted records leave no trace, so that only their absence tells.
    #[serde(default)]
    pub drop_tombstones: bool,
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
    /// Most reads, refused ones included, that came within one second.
    pub most_reads_in_1_s: u64,
}
