//! Unpredictable random numbers for incarnations, request ids and nonces of peer links.

use std::hash::{BuildHasher, Hasher, RandomState};

/// Returns 128 bits derived from random numbers of the operating system: each half is a keyed hash
/// with a 128-bit key from the system. `fastrand` has only 64 bits of state, so two daemons of a
/// large fleet could draw the same incarnation.
pub fn random_u128() -> u128 {
    (u128::from(random_u64()) << u64::BITS) | u128::from(random_u64())
}

/// Returns 64 bits derived in the same way.
pub fn random_u64() -> u64 {
    RandomState::new().build_hasher().finish()
}
