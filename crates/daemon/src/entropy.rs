//! Random numbers that others can't guess: incarnations, request ids and nonces of peer links.

use std::hash::{BuildHasher, Hasher, RandomState};

/// 128 bits that follow from the operating system's own random numbers. Each half is a keyed hash
/// whose 128-bit key is the system's; `fastrand` alone has 64 bits of state, so that two daemons
/// of a large fleet could draw the same incarnation.
pub fn random_u128() -> u128 {
    (u128::from(random_u64()) << u64::BITS) | u128::from(random_u64())
}

/// 64 bits of the same kind.
pub fn random_u64() -> u64 {
    RandomState::new().build_hasher().finish()
}
