use {
    crate::ids::{AttemptId, Incarnation},
    serde::{Deserialize, Serialize},
};

/// Response of `GET /v1/report`: the load of a target. The figures are some hundred ms old.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Whether the target is shutting down and accepts no new work.
    pub leaving: bool,
    /// Number of requests that run.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of prompt tokens for which prefill remains, those of queued requests included.
    pub prefill_tokens_left: u64,
    /// Memory in use that can't be evicted, in tokens.
    pub memory_used_tokens: u64,
    /// Capacity of the target's memory, in tokens.
    pub memory_total_tokens: u64,
    /// Memory held for attempts and reservations.
    #[serde(default)]
    pub holdings: Vec<Holding>,
}

/// Memory held at a target for an attempt or a reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Id of the attempt or reservation.
    pub attempt: AttemptId,
    /// Daemon that owns it.
    pub owner: Incarnation,
    /// Amount of memory, in tokens.
    pub tokens: u64,
    /// Time since its deadline passed, in ms; 0 if it has not.
    pub overdue_ms: u64,
    /// Whether it is a reservation; false for a running attempt.
    pub reservation: bool,
}
