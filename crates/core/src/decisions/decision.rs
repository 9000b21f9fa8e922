use whinlatch_wire::ids::RequestId;

/// Subsystem of the core that made a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Subsystem {
    /// Configuration records.
    Records,
    /// State of daemons and targets.
    Fleet,
    /// Links between daemons.
    Peers,
    /// Authorization of requests by account, key, caller and route.
    Admission,
    /// Choice of a single target.
    Routing,
    /// Choice of a group of engines.
    Placement,
    /// Attempts, retries and tickets.
    Requests,
    /// Orders to engines.
    Orders,
}

impl Subsystem {
    /// Returns the prefix of the subsystem's log lines, which is also its name in decision reports.
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

/// A decision of the core, described in a short sentence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Subsystem that made the decision.
    pub subsystem: Subsystem,
    /// Request that the decision concerns; `None` for decisions about the daemon or the fleet.
    pub request: Option<RequestId>,
    /// Decision and its reason, as shown to operators.
    pub text: String,
}
