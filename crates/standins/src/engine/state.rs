use {
    super::{
        EngineOptions,
        cache::PrefixCache,
        work::{Event, Work, answer_seed},
    },
    crate::{
        signal::after_ms,
        target::{Common, TargetStats},
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

/// Everything that an engine knows.
#[derive(Debug)]
pub struct FakeEngine {
    pub options: EngineOptions,
    pub common: Common,
    /// What orders change.
    pub engine: EngineState,
    pub waiting: Vec<Work>,
    pub running: Vec<Work>,
    /// Memory that is set aside, and until when.
    pub reservations: BTreeMap<AttemptId, (Instant, ReserveRequest)>,
    pub exports: HashMap<u64, Vec<u64>>,
    pub cache: PrefixCache,
    pub reports: VecDeque<(Instant, LoadReport)>,
    serials: u64,
}

impl FakeEngine {
    pub fn new(options: EngineOptions) -> Self {
        let common = Common::default();
        Self {
            engine: EngineState {
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
            serials: 0,
            options,
        }
    }

    /// Begins again with what it had at the start; its common part has begun again already.
    pub fn begin_again(&mut self) {
        let former = mem::replace(self, Self::new(self.options.clone()));
        self.common = former.common;
        self.serials = former.serials;
        self.engine.incarnation = self.common.incarnation;
    }

    pub fn work(&self) -> impl Iterator<Item = &Work> {
        self.running.iter().chain(&self.waiting)
    }

    /// Memory in use that can't yield.
    pub fn used_tokens(&self) -> u64 {
        let running: u64 = self.running.iter().map(|work| work.holds_tokens).sum();
        let reserved: u64 = self
            .reservations
            .values()
            .map(|(_until, held)| held.tokens)
            .sum();
        running + reserved
    }

    pub fn free_tokens(&self) -> u64 {
        self.options
            .memory_tokens
            .saturating_sub(self.used_tokens())
    }

    pub fn reserved(&self, id: AttemptId) -> Option<u64> {
        self.reservations.get(&id).map(|(_until, held)| held.tokens)
    }

    /// Takes a request on, to wait for its turn. `group_tokens` is what the other engines of its
    /// group hold for it.
    pub fn submit(
        &mut self,
        now: Instant,
        request: GenerateRequest,
        group_tokens: u64,
    ) -> Result<Receiver<Event>, RefusalReason> {
        self.prune(now);
        let chunks = u64::from(request.max_tokens.min(self.options.answer_tokens).max(1));
        let holds_tokens = self.admit(
            &request,
            request.prompt_tokens.saturating_add(chunks),
            group_tokens,
        )?;
        let (events, receiver) = async_channel::unbounded();
        self.serials += 1;
        self.waiting.push(Work {
            serial: self.serials,
            until: after_ms(now, request.deadline_ms),
            events,
            prefilled: 0,
            holds_tokens,
            next_chunk: request.resume_after.map_or(0, |last| last + 1),
            chunks,
            seed: answer_seed(&request.model, &request.prompt),
            request,
        });
        Ok(receiver)
    }

    /// Ends an attempt, also one that is still to come.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.common.counted.cancels += 1;
        self.common.cancelled.insert(attempt);
        self.drop_work(attempt);
    }

    /// Ends one request; while it waits, it is refused.
    pub fn drop_work(&mut self, attempt: AttemptId) {
        for work in self
            .waiting
            .extract_if(.., |work| work.request.attempt == attempt)
        {
            work.refuse(RefusalReason::Expired);
        }
        self.running.retain(|work| work.request.attempt != attempt);
    }

    pub fn reserve(&mut self, now: Instant, request: ReserveRequest) -> Result<(), RefusalReason> {
        self.prune(now);
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
        let until = after_ms(now, request.hold_ms);
        self.reservations
            .insert(request.reservation, (until, request));
        self.cache.trim(now, self.free_tokens());
        Ok(())
    }

    /// Drops what has expired and whose caller is gone. An attempt doesn't outlive the
    /// reservation that it uses: its memory would be given to others.
    pub fn prune(&mut self, now: Instant) {
        if self.options.enforces_deadlines {
            self.reservations.retain(|_id, (until, _held)| *until > now);
            for work in self.waiting.extract_if(.., |work| work.until <= now) {
                self.common.counted.expired += 1;
                work.refuse(RefusalReason::Expired);
            }
            let expired = self
                .running
                .extract_if(.., |work| work.until <= now)
                .count();
            self.common.counted.expired += expired as u64;
        }
        for work in [&mut self.waiting, &mut self.running] {
            let gone = work.extract_if(.., |work| work.events.is_closed()).count();
            self.common.counted.callers_gone += gone as u64;
        }
        let held = &self.reservations;
        self.running.retain(|work| {
            work.request
                .reservation
                .is_none_or(|id| held.contains_key(&id))
        });
        self.exports
            .retain(|handle, _hashes| held.contains_key(&AttemptId(u128::from(*handle))));
    }

    pub fn present_stats(&mut self, now: Instant) -> TargetStats {
        self.prune(now);
        TargetStats {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            reservations: self.reservations.len() as u32,
            memory_used_tokens: self.used_tokens(),
            cached_blocks: self.cache.len(),
            ..self.common.counted.clone()
        }
    }

    /// Checks a request; gives the memory that it needs of its own.
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
