use {
    crate::time::MonoMs,
    std::net::SocketAddr,
    whinlatch_wire::{
        ids::{AttemptId, Incarnation, TargetName},
        target::{GroupMember, ReserveRequest},
    },
};

/// Time within which an engine must answer a reservation, in ms. Short, since other prompts wait behind
/// it.
pub const RESERVE_TIMEOUT_MS: u64 = 1_000;
/// Time after which an engine releases reserved memory unless the reservation is renewed, in ms. A
/// daemon that dies or is disconnected never releases its reservations; the expiry keeps engines from
/// losing that memory for good.
const HOLD_MS: u64 = 15_000;
/// Interval of renewals of a reservation, in ms. Two renewals may be lost before it expires.
const RENEW_INTERVAL_MS: u64 = 5_000;

/// One engine of a group and its reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Name of the engine.
    pub target: TargetName,
    /// Address of the engine for calls.
    pub address: SocketAddr,
    /// Run of the engine that must grant the reservation.
    pub incarnation: Incarnation,
    /// Id of the reservation, chosen by this daemon.
    pub reservation: AttemptId,
}

/// Progress of a group's reservations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupState {
    /// No memory is reserved. The prompt is queued at the chosen engines.
    Waiting {
        /// Time of the next attempt to choose and reserve engines.
        retry_at: MonoMs,
    },
    /// The parts before `next` are reserved, and the request for `next` is pending.
    Acquiring {
        /// Index of the part whose engine hasn't answered yet.
        next: usize,
        /// When the reservation of that part was requested.
        requested_at: MonoMs,
    },
    /// All parts are reserved.
    Reserved {
        /// Time of the next renewal.
        renew_at: MonoMs,
    },
}

/// A group of one or more engines that together hold one long prompt, reserved all or none.
///
/// Parts are reserved one at a time, in the order of the targets' names, and all are released on the
/// first refusal. Guards against a deadlock of two daemons that each hold engines the other waits for:
/// no daemon keeps reservations while it waits, and both start with the same engine.
#[derive(Debug, Clone)]
pub struct Group {
    /// Id under which the prompt is queued at engines while it waits.
    pub queue_id: AttemptId,
    /// Index in the route's list of the provider assigned to the prompt.
    pub provider: usize,
    /// Engines at which the prompt is queued.
    pub queued_targets: Vec<TargetName>,
    /// Parts in the order in which they are reserved; empty while the group is waiting.
    pub parts: Vec<Part>,
    /// Memory that each engine reserves, in tokens.
    pub part_tokens: u64,
    /// Progress of the reservations.
    pub state: GroupState,
    /// Number of failed attempts to reserve; each one doubles the back-off.
    pub failed_attempts: u32,
}

impl Group {
    /// Creates a group without reservations that is due immediately and not queued anywhere.
    pub fn new(now: MonoMs, queue_id: AttemptId, provider: usize) -> Self {
        Self {
            queue_id,
            provider,
            queued_targets: Vec::new(),
            parts: Vec::new(),
            part_tokens: 0,
            state: GroupState::Waiting { retry_at: now },
            failed_attempts: 0,
        }
    }

    /// Returns the parts that are or may be reserved, including the one whose engine hasn't answered.
    pub fn parts_to_release(&self) -> &[Part] {
        match self.state {
            GroupState::Waiting { .. } => &[],
            GroupState::Acquiring { next, .. } => &self.parts[..=next],
            GroupState::Reserved { .. } => &self.parts,
        }
    }

    /// Returns the reservation request for the engine of a part.
    pub fn reserve_request(&self, part: &Part, owner: Incarnation) -> ReserveRequest {
        ReserveRequest {
            reservation: part.reservation,
            owner,
            expect_incarnation: part.incarnation,
            tokens: self.part_tokens,
            hold_ms: HOLD_MS,
        }
    }

    /// Returns the part whose engine hasn't answered yet; `None` unless the group is acquiring.
    pub fn pending_part(&self) -> Option<&Part> {
        match self.state {
            GroupState::Acquiring { next, .. } => self.parts.get(next),
            _ => None,
        }
    }

    /// Records that the pending part is reserved. Returns whether all parts now are.
    pub fn advance(&mut self, now: MonoMs) -> bool {
        let GroupState::Acquiring { next, .. } = self.state else {
            return false;
        };
        if next + 1 < self.parts.len() {
            self.state = GroupState::Acquiring {
                next: next + 1,
                requested_at: now,
            };
            return false;
        }
        self.mark_reserved(now);
        true
    }

    /// Marks all parts as reserved and schedules the next renewal.
    pub fn mark_reserved(&mut self, now: MonoMs) {
        self.state = GroupState::Reserved {
            renew_at: now + RENEW_INTERVAL_MS,
        };
    }

    /// Returns the parts other than the leader's, as listed in the dispatch to `leader`, the engine that runs
    /// the prompt.
    pub fn members(&self, leader: &TargetName) -> Vec<GroupMember> {
        self.parts
            .iter()
            .filter(|part| part.target != *leader)
            .map(|part| GroupMember {
                address: part.address,
                reservation: part.reservation,
            })
            .collect()
    }

    /// Returns the engines of the group other than `leader`.
    pub fn helpers(&self, leader: &TargetName) -> Vec<TargetName> {
        let others = self.parts.iter().filter(|part| part.target != *leader);
        others.map(|part| part.target.clone()).collect()
    }

    /// Returns the id of the reservation at a target; `None` if the target isn't part of the group.
    pub fn reservation_at(&self, target: &TargetName) -> Option<AttemptId> {
        let part = self.parts.iter().find(|part| part.target == *target)?;
        Some(part.reservation)
    }
}
