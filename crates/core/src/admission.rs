//! Admission of requests: account, key, caller and route.

mod authorize;

pub use authorize::{AdmissionError, authorize, is_idempotent};
