use {
    super::{
        cost::{CHUNK_TOKENS, HELP_SLOWDOWN, MEMORY_TOKENS, SLOTS, STEP_ANSWER_TOKENS},
        cost::{prefill_us, step_us},
        prefix_cache::PrefixCache,
    },
    std::collections::BTreeMap,
    whinlatch_core::AttemptEvent,
    whinlatch_wire::{
        ids::{AttemptId, Incarnation},
        target::{Holding, LoadReport, Refusal, RefusalReason, ReserveRequest},
    },
};

/// Requests that an engine queues before it refuses more.
const MAX_WAITING: usize = 512;

/// A request that an engine has accepted.
#[derive(Debug, Clone)]
pub struct Job {
    /// The attempt of the request that this job runs.
    pub attempt: AttemptId,
    /// Index of the daemon that sent it.
    pub daemon: usize,
    /// 0 is most urgent.
    pub priority: u8,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer still to generate.
    pub answer_tokens_left: u32,
    /// Tokens of KV cache that it takes on this engine; 0 if it uses a reservation.
    pub memory_tokens: u64,
    /// Engines in its group, including this one.
    pub engines: usize,
    /// The group's reservation on this engine; absent for a single engine.
    pub reservation: Option<AttemptId>,
    /// Hash of the prompt's prefix at the end of each complete block.
    pub prefix_hashes: Vec<u64>,
    /// Prompt tokens processed so far.
    pub prefilled_tokens: u64,
}

/// Progress or end of an attempt, for the daemon that sent it.
#[derive(Debug)]
pub struct AttemptUpdate {
    /// Index of the daemon that sent the attempt.
    pub daemon: usize,
    /// Attempt that the event belongs to.
    pub attempt: AttemptId,
    /// Progress or end of the attempt.
    pub event: AttemptEvent,
}

/// Memory reserved for a group.
#[derive(Debug, Clone)]
struct Reservation {
    owner: Incarnation,
    tokens: u64,
    until_us: u64,
}

/// A model engine with continuous batching: each step prefills up to a chunk of prompt tokens, the
/// most urgent requests first, and extends all running answers.
#[derive(Debug)]
pub struct Engine {
    /// Incarnation of its current run.
    pub incarnation: Incarnation,
    /// Whether it is running.
    pub alive: bool,
    /// Whether it refuses new requests because it will leave.
    pub leaving: bool,
    /// Factor by which its steps are slower than usual.
    pub slow_factor: f64,
    /// Groups led by other engines whose prompt it is currently helping to prefill.
    pub helped_groups: u32,
    /// Number of steps started. Identifies the end of a step that a crash cut short.
    pub step: u64,
    /// Prefix cache in the memory that requests leave free.
    pub cache: PrefixCache,
    busy: bool,
    waiting: Vec<Job>,
    running: Vec<Job>,
    /// Prompt tokens that the current step prefills, by attempt.
    prefill_plan: Vec<(AttemptId, u64)>,
    reservations: BTreeMap<AttemptId, Reservation>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(incarnation: Incarnation, slow_factor: f64) -> Self {
        Self {
            incarnation,
            alive: true,
            leaving: false,
            slow_factor,
            helped_groups: 0,
            step: 0,
            cache: PrefixCache::default(),
            busy: false,
            waiting: Vec::new(),
            running: Vec::new(),
            prefill_plan: Vec::new(),
            reservations: BTreeMap::new(),
        }
    }

    /// Queues a request behind those of the same or higher urgency.
    ///
    /// # Errors
    /// The refusal, if the request was not accepted. It has not run then.
    pub fn submit(&mut self, job: Job, expect: Incarnation) -> Result<(), Refusal> {
        let reserved = job
            .reservation
            .is_none_or(|reservation| self.reservations.contains_key(&reservation));
        let reason = if expect != self.incarnation {
            RefusalReason::OtherIncarnation
        } else if self.leaving {
            RefusalReason::Leaving
        } else if job.memory_tokens > MEMORY_TOKENS {
            RefusalReason::Invalid
        } else if self.waiting.len() >= MAX_WAITING || !reserved {
            RefusalReason::Full
        } else {
            let index = self
                .waiting
                .partition_point(|other| other.priority <= job.priority);
            self.waiting.insert(index, job);
            return Ok(());
        };
        Err(Refusal {
            attempt: job.attempt,
            reason,
            retry_after_ms: None,
        })
    }

    /// Begins a step if there is work and none is running. Returns its length, in µs.
    pub fn begin_step(&mut self, now_us: u64) -> Option<u64> {
        if self.busy || !self.alive {
            return None;
        }
        self.admit(now_us);
        if self.running.is_empty() {
            return None;
        }
        let answers = self.running.iter().filter(|job| job.is_prefilled()).count();
        let prefill_us = self.plan_prefill();
        let help_slowdown = 1.0 + HELP_SLOWDOWN * f64::from(self.helped_groups);
        let length_us = step_us(prefill_us, answers) * self.slow_factor * help_slowdown;
        self.busy = true;
        self.step += 1;
        Some(length_us.max(1.0) as u64)
    }

    /// Moves waiting requests into the batch in order while slots and memory last.
    fn admit(&mut self, now_us: u64) {
        self.reservations
            .retain(|_, reservation| reservation.until_us > now_us);
        while let Some(next) = self.waiting.first() {
            let fits = self.used_tokens() + next.memory_tokens <= MEMORY_TOKENS;
            if self.running.len() >= SLOTS as usize || !fits {
                return;
            }
            let mut job = self.waiting.remove(0);
            job.prefilled_tokens = self.cache.hit_tokens(&job.prefix_hashes, job.prompt_tokens);
            self.running.push(job);
            self.cache.shrink(MEMORY_TOKENS - self.used_tokens());
        }
    }

    /// Divides a chunk among the prompts that are still prefilling, the most urgent first. Returns the
    /// time that it takes, in µs.
    fn plan_prefill(&mut self) -> f64 {
        let mut order: Vec<&Job> = self
            .running
            .iter()
            .filter(|job| !job.is_prefilled())
            .collect();
        order.sort_by_key(|job| job.priority);
        let mut budget = CHUNK_TOKENS;
        let mut total_us = 0.0;
        self.prefill_plan.clear();
        for job in order {
            let tokens = budget.min(job.prompt_tokens - job.prefilled_tokens);
            if tokens == 0 {
                break;
            }
            budget -= tokens;
            total_us += prefill_us(job.prefilled_tokens, tokens, job.engines);
            self.prefill_plan.push((job.attempt, tokens));
        }
        total_us
    }

    /// Ends the current step. Returns the first tokens and ends of answers that it produced.
    pub fn end_step(&mut self) -> Vec<AttemptUpdate> {
        self.busy = false;
        let mut updates = Vec::new();
        let plan = std::mem::take(&mut self.prefill_plan);
        for job in &mut self.running {
            if job.is_prefilled() {
                job.answer_tokens_left = job.answer_tokens_left.saturating_sub(STEP_ANSWER_TOKENS);
                continue;
            }
            let planned = plan.iter().find(|(attempt, _)| *attempt == job.attempt);
            job.prefilled_tokens += planned.map_or(0, |(_, tokens)| *tokens);
            if job.is_prefilled() {
                job.answer_tokens_left = job.answer_tokens_left.saturating_sub(1);
                updates.push(job.update(AttemptEvent::FirstChunk));
            }
        }
        let (ended, running): (Vec<Job>, Vec<Job>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|job| job.is_prefilled() && job.answer_tokens_left == 0);
        self.running = running;
        for job in ended {
            let free_tokens = MEMORY_TOKENS - self.used_tokens();
            if job.engines == 1 {
                self.cache.store(&job.prefix_hashes, free_tokens);
            }
            updates.push(job.update(AttemptEvent::Completed));
        }
        updates
    }

    /// Drops an attempt, queued or running.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.waiting.retain(|job| job.attempt != attempt);
        self.running.retain(|job| job.attempt != attempt);
    }

    /// Drops an attempt and returns its failure, or `None` if the engine doesn't have it.
    pub fn abort(&mut self, attempt: AttemptId) -> Option<AttemptUpdate> {
        let mut jobs = self.waiting.iter().chain(&self.running);
        let job = jobs.find(|job| job.attempt == attempt)?;
        let lost = job.update(AttemptEvent::Broken { chunks: 0 });
        self.cancel(attempt);
        Some(lost)
    }

    /// Reserves memory or extends a reservation. Returns `false` if the engine refuses.
    pub fn reserve(&mut self, now_us: u64, request: &ReserveRequest) -> bool {
        self.reservations
            .retain(|_, reservation| reservation.until_us > now_us);
        if request.expect_incarnation != self.incarnation
            || self.leaving && !self.has_reservation(request)
        {
            return false;
        }
        if !self.has_reservation(request) && self.used_tokens() + request.tokens > MEMORY_TOKENS {
            return false;
        }
        let reservation = Reservation {
            owner: request.owner,
            tokens: request.tokens,
            until_us: now_us + request.hold_ms * 1_000,
        };
        self.reservations.insert(request.reservation, reservation);
        self.cache.shrink(MEMORY_TOKENS - self.used_tokens());
        true
    }

    fn has_reservation(&self, request: &ReserveRequest) -> bool {
        self.reservations.contains_key(&request.reservation)
    }

    /// Releases a reservation.
    pub fn release(&mut self, reservation: AttemptId) {
        self.reservations.remove(&reservation);
    }

    /// Stops the engine and drops all its state. Returns the failures of its attempts.
    pub fn crash(&mut self) -> Vec<AttemptUpdate> {
        let lost = self
            .waiting
            .iter()
            .chain(&self.running)
            .map(|job| job.update(AttemptEvent::Broken { chunks: 0 }))
            .collect();
        *self = Self {
            alive: false,
            step: self.step,
            ..Self::new(self.incarnation, self.slow_factor)
        };
        lost
    }

    /// Starts a new run with empty state.
    pub fn restart(&mut self, incarnation: Incarnation) {
        *self = Self {
            step: self.step,
            ..Self::new(incarnation, self.slow_factor)
        };
    }

    /// Returns the current load.
    pub fn report(&self) -> LoadReport {
        let jobs = self.waiting.iter().chain(&self.running);
        LoadReport {
            incarnation: self.incarnation,
            leaving: self.leaving,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill_tokens_left: jobs
                .map(|job| job.prompt_tokens - job.prefilled_tokens)
                .sum(),
            memory_used_tokens: self.used_tokens(),
            memory_total_tokens: MEMORY_TOKENS,
            holdings: self.reservations.iter().map(holding).collect(),
        }
    }

    /// Returns whether the current step prefills the prompt of an attempt.
    pub fn is_prefilling(&self, attempt: AttemptId) -> bool {
        self.prefill_plan
            .iter()
            .any(|(planned, _)| *planned == attempt)
    }

    fn used_tokens(&self) -> u64 {
        let jobs: u64 = self.running.iter().map(|job| job.memory_tokens).sum();
        let reserved: u64 = self.reservations.values().map(|r| r.tokens).sum();
        jobs + reserved
    }
}

fn holding((attempt, reservation): (&AttemptId, &Reservation)) -> Holding {
    Holding {
        attempt: *attempt,
        owner: reservation.owner,
        tokens: reservation.tokens,
        overdue_ms: 0,
        reservation: true,
    }
}

impl Job {
    fn is_prefilled(&self) -> bool {
        self.prefilled_tokens >= self.prompt_tokens
    }

    fn update(&self, event: AttemptEvent) -> AttemptUpdate {
        AttemptUpdate {
            daemon: self.daemon,
            attempt: self.attempt,
            event,
        }
    }
}
