/// Announcements of a target that come with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetNotice {
    /// Requests per second that the target accepts from all instances together; `None` if it has no limit.
    pub limit_per_s: Option<f64>,
    /// Whether the target is about to leave and must get no new requests.
    pub is_leaving: bool,
    /// Pause that the target asks of the instance whose request it rejected, in ms; `None` if it asks for
    /// none.
    pub retry_after_ms: Option<u64>,
}
