use {super::Fingerprint, crate::names::PartId};

/// What may be to blame for targets that crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspect {
    /// A request.
    Request(Fingerprint),
    /// A part of prompts.
    Part(PartId),
}

impl Suspect {
    /// Returns its kind in logs.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::Part(_) => "part",
        }
    }

    /// Returns its id in logs, in the form in which other lines have it.
    pub fn id_text(self) -> String {
        match self {
            Self::Request(fingerprint) => format!("{fingerprint:016x}"),
            Self::Part(part) => part.to_string(),
        }
    }
}

/// A suspect that is refused from now on, or isn't any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Blame {
    /// The suspect.
    pub suspect: Suspect,
    /// Number of targets that it has crashed, as far as is known here; 0 once it is cleared.
    pub targets: u32,
    /// Whether it is refused from now on.
    pub is_refused: bool,
}
