use {std::str::FromStr, thiserror::Error};

/// A measurement, as named by `--only`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Measurement {
    /// Memory of one daemon at the design size.
    Memory,
    /// Slopes by number of daemons, and propagation of a change to all of them.
    Peers,
    /// Slopes by number of targets.
    Targets,
    /// Slopes by number of records.
    Records,
    /// Slopes by number of changes.
    Changes,
    /// Cost of a daemon's failure and start for the others.
    Faults,
    /// Slopes by number of open streams.
    Streams,
    /// CPU time of a request.
    Requests,
    /// Start of one daemon, and of many at the same time.
    Start,
    /// Convergence of two regions after a partition.
    Apart,
    /// Comparison of methods of record repair.
    Repair,
}

/// All measurements by name, in the order in which they run. Memory comes first, since memory that the
/// others free would stay resident.
pub const MEASUREMENTS: [(&str, Measurement); 11] = [
    ("memory", Measurement::Memory),
    ("peers", Measurement::Peers),
    ("targets", Measurement::Targets),
    ("records", Measurement::Records),
    ("changes", Measurement::Changes),
    ("faults", Measurement::Faults),
    ("streams", Measurement::Streams),
    ("requests", Measurement::Requests),
    ("start", Measurement::Start),
    ("apart", Measurement::Apart),
    ("repair", Measurement::Repair),
];

/// A name that no measurement has.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown measurement {name:?}: expected one of {}", names())]
pub struct UnknownMeasurement {
    name: String,
}

impl FromStr for Measurement {
    type Err = UnknownMeasurement;

    fn from_str(text: &str) -> Result<Self, UnknownMeasurement> {
        let found = MEASUREMENTS.iter().find(|(name, _)| *name == text);
        found
            .map(|(_, measurement)| *measurement)
            .ok_or_else(|| UnknownMeasurement {
                name: text.to_owned(),
            })
    }
}

fn names() -> String {
    MEASUREMENTS.map(|(name, _)| name).join(", ")
}
