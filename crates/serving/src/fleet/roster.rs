use {
    super::Member,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Which instances the sender hears from itself. The receiver takes them for alive while it hears
/// from the sender.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Roster {
    /// Whether `listed` has all of them; else only those that are new or have changed.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub is_full: bool,
    /// Instances.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub listed: Vec<Member>,
    /// Where those link that the sender hears no more.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<SocketAddr>,
}
