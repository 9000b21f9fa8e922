use {
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    whinlatch_wire::{
        ids::{AttemptId, Incarnation},
        target::{Holding, RefusalReason, ReserveRequest},
    },
};

/// Memory set aside.
#[derive(Debug)]
struct Reservation {
    owner: Incarnation,
    tokens: u64,
    until: Instant,
}

/// All memory that is set aside.
#[derive(Debug, Default)]
pub struct Reservations(BTreeMap<AttemptId, Reservation>);

impl Reservations {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn total_tokens(&self) -> u64 {
        self.0.values().map(|held| held.tokens).sum()
    }

    pub fn tokens(&self, reservation: AttemptId) -> Option<u64> {
        self.0.get(&reservation).map(|held| held.tokens)
    }

    /// Sets memory aside or renews it; `free_tokens` doesn't count what it holds already.
    pub fn reserve(
        &mut self,
        now: Instant,
        request: &ReserveRequest,
        free_tokens: u64,
    ) -> Result<(), RefusalReason> {
        let free_tokens = free_tokens + self.tokens(request.reservation).unwrap_or(0);
        if request.tokens > free_tokens {
            return Err(RefusalReason::Full);
        }
        let reservation = Reservation {
            owner: request.owner,
            tokens: request.tokens,
            until: now + Duration::from_millis(request.hold_ms),
        };
        self.0.insert(request.reservation, reservation);
        Ok(())
    }

    pub fn release(&mut self, reservation: AttemptId) {
        self.0.remove(&reservation);
    }

    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_id, held| held.until > now);
    }

    pub fn holdings(&self, now: Instant) -> impl Iterator<Item = Holding> {
        self.0.iter().map(move |(id, held)| Holding {
            attempt: *id,
            owner: held.owner,
            tokens: held.tokens,
            overdue_ms: now.saturating_duration_since(held.until).as_millis() as u64,
            reservation: true,
        })
    }
}
