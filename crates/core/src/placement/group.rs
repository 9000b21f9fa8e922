use {
    crate::time::MonoMs,
    std::net::SocketAddr,
    whinlatch_wire::{
        ids::{AttemptId, Incarnation, ProviderName, TargetName},
        target::{GroupMember, ReserveRequest},
    },
};

/// How long an engine may take to answer a reservation, in ms. Short, since others wait behind it.
pub const RESERVE_WITHIN_MS: u64 = 1_000;
/// How long an engine holds memory unless the hold is renewed, in ms. A daemon that dies or is cut
/// off never releases; the hold then ends by itself, so that no engine loses memory for good.
const HOLD_MS: u64 = 15_000;
/// Time between renewals of a hold, in ms: two may get lost before it ends.
const RENEW_EVERY_MS: u64 = 5_000;

/// An engine's part of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The engine.
    pub target: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// Its run.
    pub incarnation: Incarnation,
    /// Names the reservation there.
    pub reservation: AttemptId,
}

/// How far a group is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupState {
    /// Nothing is held; the engines are claimed, and tried again at this moment.
    Waiting {
        /// The moment.
        due: MonoMs,
    },
    /// The parts before `next` are held and `next` was asked.
    Acquiring {
        /// The part that was asked.
        next: usize,
        /// When it was asked.
        asked: MonoMs,
    },
    /// All parts are held.
    Held {
        /// When the holds are renewed.
        renew: MonoMs,
    },
}

/// Engines that together hold one long prompt, one or more: all of them or none.
///
/// Parts are asked in the order of the targets' names, one at a time, and all are given back on the
/// first refusal. Guards against two daemons that each hold what the other waits for: neither waits
/// with something in hand, and both meet at the same first engine.
#[derive(Debug, Clone)]
pub struct Group {
    /// Names the request's claim on engines while it waits.
    pub claim: AttemptId,
    /// The provider that was drawn for it.
    pub provider: Option<ProviderName>,
    /// Engines that are claimed.
    pub claimed: Vec<TargetName>,
    /// Its engines in the order in which they are asked.
    pub parts: Vec<Part>,
    /// Tokens that each engine sets aside.
    pub part_tokens: u64,
    /// How far it is.
    pub state: GroupState,
    /// Times that it was put off.
    pub tries: u32,
}

impl Group {
    /// A group of which nothing is held or claimed.
    pub fn new(now: MonoMs, claim: AttemptId, provider: Option<ProviderName>) -> Self {
        Self {
            claim,
            provider,
            claimed: Vec::new(),
            parts: Vec::new(),
            part_tokens: 0,
            state: GroupState::Waiting { due: now },
            tries: 0,
        }
    }

    /// Parts that an engine holds or may hold.
    pub fn held(&self) -> &[Part] {
        match self.state {
            GroupState::Waiting { .. } => &[],
            GroupState::Acquiring { next, .. } => &self.parts[..=next],
            GroupState::Held { .. } => &self.parts,
        }
    }

    /// What to ask the engine of a part.
    pub fn ask(&self, part: &Part, owner: Incarnation) -> ReserveRequest {
        ReserveRequest {
            reservation: part.reservation,
            owner,
            expect_incarnation: part.incarnation,
            tokens: self.part_tokens,
            hold_ms: HOLD_MS,
        }
    }

    /// The part that was asked last and has not answered.
    pub fn asked(&self) -> Option<&Part> {
        match self.state {
            GroupState::Acquiring { next, .. } => self.parts.get(next),
            _ => None,
        }
    }

    /// Notes that the part that was asked is held. Returns whether all are.
    pub fn advance(&mut self, now: MonoMs) -> bool {
        let GroupState::Acquiring { next, .. } = self.state else {
            return false;
        };
        if next + 1 < self.parts.len() {
            self.state = GroupState::Acquiring {
                next: next + 1,
                asked: now,
            };
            return false;
        }
        self.renewed(now);
        true
    }

    /// Notes that all holds are renewed.
    pub fn renewed(&mut self, now: MonoMs) {
        self.state = GroupState::Held {
            renew: now + RENEW_EVERY_MS,
        };
    }

    /// The parts beside the one at `leader`, as the engine that runs the prompt is told of them.
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

    /// The engines beside `leader`.
    pub fn helpers(&self, leader: &TargetName) -> Vec<TargetName> {
        let others = self.parts.iter().filter(|part| part.target != *leader);
        others.map(|part| part.target.clone()).collect()
    }

    /// The reservation at a target.
    pub fn reservation_at(&self, target: &TargetName) -> Option<AttemptId> {
        let part = self.parts.iter().find(|part| part.target == *target)?;
        Some(part.reservation)
    }
}
