use {
    super::{
        EngineOptions,
        cache::PrefixCache,
        work::{EngineRequest, RequestEvent, answer_seed},
    },
    crate::{
        signal::after_ms,
        target::{CommonState, TargetStats},
    },
    async_channel::Receiver,
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        mem,
        time::Instant,
    },
    whinlatch_wire::{
        ids::{AttemptId, Revision},
        target::{
            EngineMode, EngineState, GenerateRequest, LoadReport, RefusalReason, ReserveRequest,
        },
    },
};

/// State of a fake engine.
#[derive(Debug)]
pub struct FakeEngine {
    pub options: EngineOptions,
    pub common: CommonState,
    /// Models, mode and fencing number, which orders change.
    pub order_state: EngineState,
    pub waiting: Vec<EngineRequest>,
    pub running: Vec<EngineRequest>,
    /// Reservations with the time at which they expire.
    pub reservations: BTreeMap<AttemptId, (Instant, ReserveRequest)>,
    /// Prefix hashes of each export, by handle.
    pub exports: HashMap<u64, Vec<u64>>,
    pub cache: PrefixCache,
    pub reports: VecDeque<(Instant, LoadReport)>,
    last_serial: u64,
}

impl FakeEngine {
    pub fn new(options: EngineOptions) -> Self {
        let common = CommonState::default();
        Self {
            order_state: EngineState {
                incarnation: common.incarnation,
                models: options.models.clone(),
                mode: EngineMode::Both,
                busy: false,
                fence: Revision(0),
                orders_begun: 0,
            },
            common,
            waiting: Vec::new(),
            running: Vec::new(),
            reservations: BTreeMap::new(),
            exports: HashMap::new(),
            cache: PrefixCache::new(options.event_gap_every),
            reports: VecDeque::new(),
            last_serial: 0,
            options,
        }
    }

    /// Resets to the state at startup as a new incarnation. The common state has been reset by the caller.
    pub fn reset(&mut self) {
        let previous = mem::replace(self, Self::new(self.options.clone()));
        self.common = previous.common;
        self.last_serial = previous.last_serial;
        self.order_state.incarnation = self.common.incarnation;
    }

    pub fn requests(&self) -> impl Iterator<Item = &EngineRequest> {
        self.running.iter().chain(&self.waiting)
    }

    /// Returns the tokens of memory in use, without the prefix cache, which can be evicted.
    pub fn used_tokens(&self) -> u64 {
        let running: u64 = self
            .running
            .iter()
            .map(|request| request.own_memory_tokens)
            .sum();
        let reserved: u64 = self
            .reservations
            .values()
            .map(|(_expires_at, reservation)| reservation.tokens)
            .sum();
        running + reserved
    }

    pub fn free_tokens(&self) -> u64 {
        self.options
            .memory_tokens
            .saturating_sub(self.used_tokens())
    }

    pub fn reserved(&self, id: AttemptId) -> Option<u64> {
        self.reservations
            .get(&id)
            .map(|(_expires_at, reservation)| reservation.tokens)
    }

    /// Queues a request. `group_tokens` is the number of tokens that the other engines of its group have
    /// reserved for it. Returns a receiver of its events, or why it is refused.
    pub fn submit(
        &mut self,
        now: Instant,
        request: GenerateRequest,
        group_tokens: u64,
    ) -> Result<Receiver<RequestEvent>, RefusalReason> {
        self.drop_expired(now);
        let chunks = u64::from(request.max_tokens.min(self.options.answer_tokens).max(1));
        let own_memory_tokens = self.admit(
            &request,
            request.prompt_tokens.saturating_add(chunks),
            group_tokens,
        )?;
        let (events, receiver) = async_channel::unbounded();
        self.last_serial += 1;
        self.waiting.push(EngineRequest {
            serial: self.last_serial,
            expires_at: after_ms(now, request.deadline_ms),
            events,
            prefilled: 0,
            own_memory_tokens,
            next_chunk: request.resume_after.map_or(0, |last| last + 1),
            chunks,
            seed: answer_seed(&request.model, &request.prompt),
            params: request,
        });
        Ok(receiver)
    }

    /// Cancels an attempt. One that arrives after its cancellation is refused.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.common.stats.cancels += 1;
        self.common.cancelled.insert(attempt);
        self.drop_request(attempt);
    }

    /// Drops a request: one that waits is refused, the answer of one that runs is aborted.
    pub fn drop_request(&mut self, attempt: AttemptId) {
        for request in self
            .waiting
            .extract_if(.., |request| request.params.attempt == attempt)
        {
            request.refuse(RefusalReason::Expired);
        }
        self.running
            .retain(|request| request.params.attempt != attempt);
    }

    pub fn reserve(&mut self, now: Instant, request: ReserveRequest) -> Result<(), RefusalReason> {
        self.drop_expired(now);
        let own = self.reserved(request.reservation).unwrap_or(0);
        self.common.admit(
            request.reservation,
            request.expect_incarnation,
            request.hold_ms,
        )?;
        if request.tokens > self.options.memory_tokens {
            return Err(RefusalReason::Invalid);
        }
        if request.tokens > self.free_tokens() + own {
            return Err(RefusalReason::Full);
        }
        let expires_at = after_ms(now, request.hold_ms);
        self.reservations
            .insert(request.reservation, (expires_at, request));
        self.cache.evict_to(now, self.free_tokens());
        Ok(())
    }

    /// Drops expired requests and reservations and the requests of disconnected callers. A request doesn't
    /// outlive the reservation that it uses, since its memory is given to others.
    pub fn drop_expired(&mut self, now: Instant) {
        if self.options.enforces_deadlines {
            self.reservations
                .retain(|_id, (expires_at, _reservation)| *expires_at > now);
            for request in self
                .waiting
                .extract_if(.., |request| request.expires_at <= now)
            {
                self.common.stats.expired += 1;
                request.refuse(RefusalReason::Expired);
            }
            let expired = self
                .running
                .extract_if(.., |request| request.expires_at <= now)
                .count();
            self.common.stats.expired += expired as u64;
        }
        for requests in [&mut self.waiting, &mut self.running] {
            let gone = requests
                .extract_if(.., |request| request.events.is_closed())
                .count();
            self.common.stats.callers_gone += gone as u64;
        }
        let reservations = &self.reservations;
        self.running.retain(|request| {
            request
                .params
                .reservation
                .is_none_or(|id| reservations.contains_key(&id))
        });
        self.exports
            .retain(|handle, _hashes| reservations.contains_key(&AttemptId(u128::from(*handle))));
    }

    pub fn current_stats(&mut self, now: Instant) -> TargetStats {
        self.drop_expired(now);
        TargetStats {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            reservations: self.reservations.len() as u32,
            memory_used_tokens: self.used_tokens(),
            cached_blocks: self.cache.len(),
            ..self.common.stats.clone()
        }
    }

    /// Checks a request. Returns the tokens of memory that it needs besides a reservation, or why it is
    /// refused.
    fn admit(
        &self,
        request: &GenerateRequest,
        needed_tokens: u64,
        group_tokens: u64,
    ) -> Result<u64, RefusalReason> {
        let (attempt, deadline_ms) = (request.attempt, request.deadline_ms);
        self.common
            .admit(attempt, request.expect_incarnation, deadline_ms)?;
        if !self.serves(request) {
            return Err(RefusalReason::NotLoaded);
        }
        let (covered, own) = match request.reservation {
            None => (self.options.memory_tokens, needed_tokens),
            Some(id) => (
                self.reserved(id).ok_or(RefusalReason::Expired)? + group_tokens,
                0,
            ),
        };
        if needed_tokens > covered {
            return Err(RefusalReason::Invalid);
        }
        if self.waiting.len() >= self.options.queue {
            return Err(RefusalReason::Full);
        }
        Ok(own)
    }
}
