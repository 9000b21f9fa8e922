use {
    crate::names::TargetId,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Decision on sending a request to a target now.
#[derive(Debug, Clone, PartialEq)]
pub enum Permission {
    /// The request may be sent.
    Granted,
    /// The request may not be sent.
    Refused,
    /// The holder of the target's quota decides.
    AskHolder {
        /// Peer address of the holder.
        holder: SocketAddr,
        /// Request to send to the holder.
        request: PermitRequest,
    },
}

/// Request for a permit to send one request to a rate-limited target, sent to the holder of the target's
/// quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number of the permit request, unique within the run of the sender.
    pub number: u64,
    /// Peer address to which the response is sent; `None` if the request is sent in any case and only counts.
    pub reply_to: Option<SocketAddr>,
    /// The run of the target.
    pub target: TargetId,
    /// Rate limit of the target, in requests a second.
    pub limit_per_s: f64,
}

/// Response to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitResponse {
    /// Number of the permit request.
    pub number: u64,
    /// Time after which to request a permit again, in ms; `None` if the permit is granted.
    pub refused_for_ms: Option<u64>,
}
