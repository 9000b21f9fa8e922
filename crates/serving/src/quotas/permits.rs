use {
    crate::names::TargetId,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Whether a request may be sent to a target now.
#[derive(Debug, Clone, PartialEq)]
pub enum Permission {
    /// It may.
    Given,
    /// It may not.
    Refused,
    /// Another instance is to be asked.
    Ask {
        /// Where it links.
        holder: SocketAddr,
        /// What it is asked.
        ask: PermitAsk,
    },
}

/// A request that is to go to a target which names a limit. The receiver grants them for all instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// Number of the ask, unique within the run of its sender.
    pub number: u64,
    /// Where the answer goes; `None` if the request is sent in any case.
    pub reply_to: Option<SocketAddr>,
    /// The target.
    pub target: TargetId,
    /// Requests a second that it takes.
    pub limit_per_s: f64,
}

/// The answer to a [`PermitAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// Number of the ask.
    pub number: u64,
    /// Time after which to ask again, in ms; `None` if the request may be sent.
    pub refused_for_ms: Option<u64>,
}
