use {std::str::FromStr, thiserror::Error};

/// A measurement that can be run alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Memory of one daemon at the size that is designed for.
    Memory,
    /// Slopes over the daemons, and how a change reaches the last of them.
    Peers,
    /// Slopes over the targets.
    Targets,
    /// Slopes over the records.
    Records,
    /// Slopes over the changes.
    Changes,
    /// What a failure and a start cost the others.
    Faults,
    /// Slopes over the open streams.
    Streams,
    /// Processor time of a request.
    Requests,
    /// Start of one daemon and of many.
    Start,
    /// Regions that were apart.
    Apart,
    /// Ways of repair.
    Repair,
}

/// All measurements, in the order in which they run. Memory comes first, while the process is
/// small: what is freed later stays resident.
pub const PARTS: [(&str, Part); 11] = [
    ("memory", Part::Memory),
    ("peers", Part::Peers),
    ("targets", Part::Targets),
    ("records", Part::Records),
    ("changes", Part::Changes),
    ("faults", Part::Faults),
    ("streams", Part::Streams),
    ("requests", Part::Requests),
    ("start", Part::Start),
    ("apart", Part::Apart),
    ("repair", Part::Repair),
];

/// A text that names no measurement.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is no measurement: write one of {}", names())]
pub struct UnknownPart {
    text: String,
}

impl FromStr for Part {
    type Err = UnknownPart;

    fn from_str(text: &str) -> Result<Self, UnknownPart> {
        let found = PARTS.iter().find(|(name, _)| *name == text);
        found.map(|(_, part)| *part).ok_or_else(|| UnknownPart {
            text: text.to_owned(),
        })
    }
}

fn names() -> String {
    PARTS.map(|(name, _)| name).join(", ")
}
