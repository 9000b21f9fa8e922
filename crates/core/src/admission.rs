//! Limits by client account and by deadline.

mod authorize;

pub use authorize::{Refused, authorize, is_idempotent};
