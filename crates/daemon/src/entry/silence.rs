use std::fmt;

/// Sign by which an engine counts as silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceKind {
    /// The first event of the attempt isn't there in time.
    FirstEvent,
    /// The next event isn't there in time.
    NextEvent,
    /// A connection to the engine failed at some instance, while others are reachable.
    Unreachable,
    /// Several reports in a row weren't answered.
    Reports,
    /// This instance reaches no engine of the service, and a peer may.
    OutOfReach,
}

/// Silence of an engine to which a prompt was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// Sign by which it is known.
    pub kind: SilenceKind,
    /// Time since the attempt began or anything of its answer arrived, in ms.
    pub silent_ms: u64,
}

impl SilenceKind {
    /// Returns its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstEvent => "first_event",
            Self::NextEvent => "next_event",
            Self::Unreachable => "unreachable",
            Self::Reports => "reports",
            Self::OutOfReach => "out_of_reach",
        }
    }
}

impl fmt::Display for Silence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} for {} ms", self.kind.name(), self.silent_ms)
    }
}
