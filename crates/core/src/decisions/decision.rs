use whinlatch_wire::ids::RequestId;

/// The part of the core that decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Part {
    /// Configuration records.
    Records,
    /// Daemons and targets.
    Fleet,
    /// Links between daemons.
    Peers,
    /// Limits and deadlines.
    Admission,
    /// Choice of a target.
    Routing,
    /// Choice of a group of engines.
    Placement,
    /// Attempts, retries and tickets.
    Requests,
    /// Orders to targets.
    Orders,
}

impl Part {
    /// The fixed prefix of the part's log lines.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Records => "records",
            Self::Fleet => "fleet",
            Self::Peers => "peers",
            Self::Admission => "admission",
            Self::Routing => "routing",
            Self::Placement => "placement",
            Self::Requests => "requests",
            Self::Orders => "orders",
        }
    }
}

/// A decision in a short sentence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The part that decided.
    pub part: Part,
    /// The request it is about, if any.
    pub request: Option<RequestId>,
    /// What was decided and why.
    pub text: String,
}
