/// Result of a call of a plain service at a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallOutcome {
    /// The target answered.
    Answered {
        /// Time from sending to the complete answer, in ms.
        took_ms: f64,
    },
    /// The target answered with a status of 500 or more, or the connection failed.
    Failed,
    /// The call was given up without an answer.
    Unanswered,
}
