use {
    crate::ids::{AttemptId, Incarnation},
    serde::{Deserialize, Serialize},
};

/// Load of a target, as of some hundred ms ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The run of the target.
    pub incarnation: Incarnation,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Requests at work.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that are still to be read, waiting ones included.
    pub prefill_tokens_left: u64,
    /// Tokens of memory that are in use and can't yield.
    pub memory_used_tokens: u64,
    /// Tokens of memory in all.
    pub memory_total_tokens: u64,
    /// What is held and for whom.
    #[serde(default)]
    pub holdings: Vec<Holding>,
}

/// Memory held at a target for an attempt or a reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The attempt or reservation.
    pub attempt: AttemptId,
    /// The daemon that owns it.
    pub owner: Incarnation,
    /// Tokens held.
    pub tokens: u64,
    /// How long past its deadline it is, in ms; 0 if it isn't.
    pub overdue_ms: u64,
    /// Whether it is a reservation and not a running attempt.
    pub reservation: bool,
}
