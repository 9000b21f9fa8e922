use {
    crate::ids::{FailureDomain, Incarnation, InstanceName},
    hmac::{Hmac, Mac},
    serde::{Deserialize, Serialize},
    sha2::Sha256,
    std::net::SocketAddr,
};

/// Version of the peer protocol of this build.
pub const PEER_PROTOCOL: u32 = 1;

/// First frame of each side of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the protocol. Newer versions only add parts.
    pub protocol: u32,
    /// Instance of the sender.
    pub instance: InstanceName,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Failure domain of the sender.
    pub failure_domain: FailureDomain,
    /// Where the sender takes requests of callers.
    pub caller_address: SocketAddr,
    /// Where the sender takes links of peers.
    pub peer_address: SocketAddr,
    /// Drawn at random for this link; the other side proves itself over it.
    pub nonce: u128,
}

/// Second frame of each side: proves that the sender holds the key of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloProof {
    /// HMAC-SHA-256 over the other side's nonce and the sender's incarnation.
    pub mac: Vec<u8>,
}

/// Makes the proof for a link.
///
/// # Panics
/// Never: HMAC takes keys of any length.
pub fn prove(key: &[u8], their_nonce: u128, own: Incarnation) -> HelloProof {
    HelloProof {
        mac: mac_over(key, their_nonce, own)
            .finalize()
            .into_bytes()
            .to_vec(),
    }
}

/// Whether `proof` was made with `key` by `theirs` over the nonce sent to it. The comparison takes
/// the same time whatever differs.
pub fn verify(key: &[u8], own_nonce: u128, theirs: Incarnation, proof: &HelloProof) -> bool {
    mac_over(key, own_nonce, theirs)
        .verify_slice(&proof.mac)
        .is_ok()
}

fn mac_over(key: &[u8], nonce: u128, prover: Incarnation) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(&nonce.to_be_bytes());
    mac.update(&prover.0.to_be_bytes());
    mac
}
