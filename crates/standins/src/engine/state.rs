use {
    super::{
        EngineOptions, EngineStats,
        answer::Answer,
        cache::PrefixCache,
        faults::EngineFaults,
        memory::Reservations,
        orders::Loaded,
        report::LaggingReport,
        work::{Event, Work},
    },
    crate::target::new_incarnation,
    async_channel::Receiver,
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
    whinlatch_wire::{
        ids::{AttemptId, Incarnation},
        target::{GenerateRequest, RefusalReason, ReserveRequest},
    },
};

/// Everything that an engine knows.
#[derive(Debug)]
pub struct State {
    pub(super) options: EngineOptions,
    pub(super) incarnation: Incarnation,
    pub(super) faults: EngineFaults,
    pub(super) waiting: Vec<Work>,
    pub(super) running: Vec<Work>,
    pub(super) reservations: Reservations,
    pub(super) exports: HashMap<u64, Vec<u64>>,
    pub(super) cache: PrefixCache,
    pub(super) loaded: Loaded,
    pub(super) report: LaggingReport,
    pub(super) counted: EngineStats,
    cancelled: HashSet<AttemptId>,
    serials: u64,
}

impl State {
    pub fn new(options: &EngineOptions) -> Self {
        let incarnation = new_incarnation();
        Self {
            incarnation,
            faults: EngineFaults::default(),
            waiting: Vec::new(),
            running: Vec::new(),
            reservations: Reservations::default(),
            exports: HashMap::new(),
            cache: PrefixCache::new(options.event_gap_every),
            loaded: Loaded::new(&options.models),
            report: LaggingReport::default(),
            counted: EngineStats::new(incarnation),
            cancelled: HashSet::new(),
            serials: 0,
            options: options.clone(),
        }
    }

    /// Forgets all but what a test counts and has set: a new incarnation.
    pub fn restart(&mut self, options: &EngineOptions) {
        let new = Self::new(options);
        let former = std::mem::replace(self, new);
        self.faults = former.faults;
        self.serials = former.serials;
        self.counted = EngineStats {
            incarnation: self.incarnation,
            incarnations: former.counted.incarnations + 1,
            ..former.counted
        };
    }

    /// Memory in use that can't yield.
    pub fn used_tokens(&self) -> u64 {
        let running: u64 = self.running.iter().map(|work| work.holds_tokens).sum();
        running + self.reservations.total_tokens()
    }

    pub fn free_tokens(&self) -> u64 {
        self.options
            .memory_tokens
            .saturating_sub(self.used_tokens())
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
        let holds_tokens = self
            .admit(&request, group_tokens)
            .inspect_err(|reason| self.count_refusal(*reason))?;
        let tokens = request.max_tokens.min(self.options.answer_tokens);
        let answer = Answer::new(
            &request.model,
            &request.prompt,
            tokens,
            self.options.tokens_per_chunk,
        );
        let (sender, receiver) = async_channel::unbounded();
        self.serials += 1;
        self.waiting.push(Work {
            serial: self.serials,
            until: now + Duration::from_millis(request.deadline_ms),
            events: sender,
            answer,
            prefilled: 0,
            holds_tokens,
            next_chunk: request.resume_after.map_or(0, |last| last + 1),
            tokens_in_chunk: 0,
            request,
        });
        Ok(receiver)
    }

    /// Ends an attempt, also one that is still to come.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.counted.cancels += 1;
        self.cancelled.insert(attempt);
        let (ended, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition::<Vec<_>, _>(|work| work.request.attempt == attempt);
        self.waiting = waiting;
        for work in ended {
            work.refuse(RefusalReason::Expired);
        }
        self.running.retain(|work| work.request.attempt != attempt);
    }

    pub fn reserve(&mut self, now: Instant, request: &ReserveRequest) -> Result<(), RefusalReason> {
        self.prune(now);
        let verdict = if request.expect_incarnation != self.incarnation {
            Err(RefusalReason::OtherIncarnation)
        } else if self.faults.leaving {
            Err(RefusalReason::Leaving)
        } else if request.tokens > self.options.memory_tokens {
            Err(RefusalReason::Invalid)
        } else {
            self.reservations.reserve(now, request, self.free_tokens())
        };
        self.cache.trim(now, self.free_tokens());
        verdict.inspect_err(|reason| self.count_refusal(*reason))
    }

    /// Drops what has expired and whose caller is gone. An attempt doesn't outlive the
    /// reservation that it uses: its memory would be given to others.
    pub fn prune(&mut self, now: Instant) {
        if self.options.enforces_deadlines {
            self.reservations.expire(now);
            let before = self.waiting.len() + self.running.len();
            self.waiting.retain(|work| {
                let expired = work.until <= now;
                if expired {
                    work.refuse(RefusalReason::Expired);
                }
                !expired
            });
            self.running.retain(|work| work.until > now);
            self.counted.expired += (before - self.waiting.len() - self.running.len()) as u64;
        }
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|work| !work.events.is_closed());
        self.running.retain(|work| !work.events.is_closed());
        self.counted.callers_gone += (before - self.waiting.len() - self.running.len()) as u64;
        let reservations = &self.reservations;
        self.running.retain(|work| {
            work.request
                .reservation
                .is_none_or(|used| reservations.tokens(used).is_some())
        });
        self.exports.retain(|handle, _blocks| {
            reservations
                .tokens(AttemptId(u128::from(*handle)))
                .is_some()
        });
    }

    /// Ends one request, for example because an engine of its group is gone.
    pub fn drop_work(&mut self, attempt: AttemptId) {
        self.waiting.retain(|work| work.request.attempt != attempt);
        self.running.retain(|work| work.request.attempt != attempt);
    }

    pub fn stats(&mut self, now: Instant) -> EngineStats {
        self.prune(now);
        EngineStats {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            reservations: self.reservations.len() as u32,
            memory_used_tokens: self.used_tokens(),
            cached_blocks: self.cache.len(),
            ..self.counted.clone()
        }
    }

    fn count_refusal(&mut self, reason: RefusalReason) {
        *self.counted.refusals.entry(reason).or_default() += 1;
    }

    /// Checks a request; gives the memory that it needs of its own.
    fn admit(&self, request: &GenerateRequest, group_tokens: u64) -> Result<u64, RefusalReason> {
        if request.expect_incarnation != self.incarnation {
            return Err(RefusalReason::OtherIncarnation);
        }
        if self.faults.leaving {
            return Err(RefusalReason::Leaving);
        }
        if self.cancelled.contains(&request.attempt) || request.deadline_ms == 0 {
            return Err(RefusalReason::Expired);
        }
        if !self.loaded.serves(request) {
            return Err(RefusalReason::NotLoaded);
        }
        let answer_tokens = request.max_tokens.min(self.options.answer_tokens);
        let needed = request
            .prompt_tokens
            .saturating_add(u64::from(answer_tokens));
        let own = match request.reservation {
            None if needed > self.options.memory_tokens => return Err(RefusalReason::Invalid),
            None => needed,
            Some(id) => {
                let held = self.reservations.tokens(id).ok_or(RefusalReason::Expired)?;
                if held + group_tokens < needed {
                    return Err(RefusalReason::Invalid);
                }
                0
            }
        };
        if self.waiting.len() >= self.options.queue {
            return Err(RefusalReason::Full);
        }
        Ok(own)
    }
}
