/// What a target says of itself in an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetNotice {
    /// Requests a second that it takes from all instances together; `None` if it names no limit.
    pub limit_per_s: Option<f64>,
    /// Whether it is about to leave and is to get nothing new.
    pub is_leaving: bool,
    /// Time for which it wants nothing from the instance that it turned away, in ms.
    pub retry_after_ms: Option<u64>,
}
