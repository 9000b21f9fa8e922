/// Limits of what a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time from the first byte of a head to its last, in ms.
    pub head_timeout_ms: u64,
    /// Time that a kept-alive connection may stay without a request, in ms.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Returns the limits that apply until a configuration is active: those that operators use today.
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            max_body_bytes: 4 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
