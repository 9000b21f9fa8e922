use {
    super::Member,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The instances from which the sender, a hub, receives frames. The receiver considers them alive while it
/// receives frames from the sender.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Roster {
    /// Whether `listed` is complete; otherwise it has only the new and changed instances.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub is_full: bool,
    /// State of the instances.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub listed: Vec<Member>,
    /// Peer addresses of the instances from which the sender no longer receives frames.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<SocketAddr>,
}
