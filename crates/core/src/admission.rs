//! Admission of requests: account, key, caller and route.

mod authorize;

pub use authorize::{Refused, authorize, is_idempotent};
