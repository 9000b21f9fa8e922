//! Bounds for the bodies of answers. What exceeds its bound comes from a target in trouble, and counts as broken off.

use super::http::ResponseHead;

/// Bytes in a mebibyte.
const MIB: usize = 1024 * 1024;
/// Limit for the body of a success that is received whole before it is passed on, in bytes: four times the largest
/// body of a request.
const MAX_SUCCESS_BYTES: usize = 16 * MIB;
/// Limit for the body of a failure, in bytes.
const MAX_FAILURE_BYTES: usize = MIB;
/// Limit for the body of an answer to another exchange, in bytes.
pub const MAX_SKIPPED_BYTES: usize = MIB;
/// Limit for the body of a report or of the answer to an order, in bytes.
pub const MAX_OWN_CALL_BYTES: usize = 256 * 1024;
/// Limit for the body of an answer of the store, in bytes: many times a page of targets, and the largest configuration.
pub const MAX_STORE_BYTES: usize = 64 * MIB;

/// Returns the limit for the body of an answer to a caller's request, in bytes.
pub fn max_answer_bytes(head: &ResponseHead) -> usize {
    if head.is_success() {
        MAX_SUCCESS_BYTES
    } else {
        MAX_FAILURE_BYTES
    }
}
