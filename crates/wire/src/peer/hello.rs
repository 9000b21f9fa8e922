use {
    crate::ids::{FailureDomain, Incarnation, InstanceName},
    hmac::{Hmac, Mac},
    serde::{Deserialize, Serialize},
    sha2::Sha256,
    std::net::SocketAddr,
};

/// Version of the peer protocol that this build implements.
pub const PEER_PROTOCOL: u32 = 1;

/// Identity of a daemon, in the first frame that each side sends on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the sender. Newer versions only add parts to frames.
    pub protocol: u32,
    /// Instance that the sender runs on.
    pub instance: InstanceName,
    /// Incarnation of the sender, drawn at its start.
    pub incarnation: Incarnation,
    /// Failure domain of that instance.
    pub failure_domain: FailureDomain,
    /// Address at which the sender accepts requests from callers.
    pub caller_address: SocketAddr,
    /// Address at which the sender accepts peer links.
    pub peer_address: SocketAddr,
    /// Random challenge for this link; the receiver's proof must cover it.
    pub nonce: u128,
}

/// Proof that the sender knows the peer key of the settings, in the second frame that each side
/// sends on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloProof {
    /// HMAC-SHA-256 over the receiver's nonce and the sender's incarnation, both big-endian.
    pub mac: Vec<u8>,
}

/// Computes the proof that the daemon with incarnation `own` sends in response to `their_nonce`.
///
/// # Panics
/// Never: HMAC accepts keys of any length.
pub fn prove(key: &[u8], their_nonce: u128, own: Incarnation) -> HelloProof {
    HelloProof {
        mac: mac_over(key, their_nonce, own)
            .finalize()
            .into_bytes()
            .to_vec(),
    }
}

/// Returns whether the daemon with incarnation `theirs` made `proof` with `key` over `own_nonce`.
/// Compares in constant time.
pub fn verify(key: &[u8], own_nonce: u128, theirs: Incarnation, proof: &HelloProof) -> bool {
    mac_over(key, own_nonce, theirs)
        .verify_slice(&proof.mac)
        .is_ok()
}

fn mac_over(key: &[u8], nonce: u128, prover: Incarnation) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(&nonce.to_be_bytes());
    mac.update(&prover.0.to_be_bytes());
    mac
}
