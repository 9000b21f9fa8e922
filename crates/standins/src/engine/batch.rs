use {
    super::{
        state::FakeEngine,
        work::{Event, Work},
    },
    crate::target::Die,
    std::{
        collections::HashSet,
        time::{Duration, Instant},
    },
    whinlatch_wire::target::RefusalReason,
};

/// What to do next.
#[derive(Debug)]
pub enum Step {
    Idle,
    /// A prompt brings the engine down.
    Crash(Die),
    Work(Plan),
}

/// One step of the batch: a token for each request that decodes, and some prompt tokens.
#[derive(Debug, Default)]
pub struct Plan {
    pub cost: Duration,
    decode: HashSet<u64>,
    prefill: Vec<(u64, u64)>,
}

impl FakeEngine {
    pub fn begin_step(&mut self, now: Instant) -> Step {
        self.prune(now);
        self.take_report(now);
        if let Some(die) = self.begin_waiting(now) {
            return Step::Crash(die);
        }
        if self.running.is_empty() {
            return Step::Idle;
        }
        Step::Work(self.plan())
    }

    /// Tells whether a step is still of use to anyone.
    pub fn works_on(&mut self, now: Instant, plan: &Plan) -> bool {
        self.prune(now);
        self.take_report(now);
        let begun = plan
            .prefill
            .iter()
            .map(|(serial, _tokens)| serial)
            .chain(&plan.decode);
        let running = |serial: &u64| self.running.iter().any(|work| work.serial == *serial);
        begun.into_iter().any(running)
    }

    pub fn finish_step(&mut self, now: Instant, plan: &Plan) {
        for (serial, tokens) in &plan.prefill {
            self.finish_prefill(now, *serial, *tokens);
        }
        for work in self
            .running
            .iter_mut()
            .filter(|work| plan.decode.contains(&work.serial))
        {
            work.decode_token();
        }
        for work in self
            .running
            .extract_if(.., |work| work.next_chunk >= work.chunks)
        {
            self.common.end(run_key(&work.request.prompt));
        }
    }

    /// Begins what waits, the most urgent first and none before its turn.
    fn begin_waiting(&mut self, now: Instant) -> Option<Die> {
        self.waiting.sort_by_key(Work::order);
        while self.running.len() < self.options.slots {
            let first = self.waiting.first()?;
            if first.holds_tokens > self.free_tokens() {
                return None;
            }
            let mut work = self.waiting.remove(0);
            let reservation = work.request.reservation;
            if reservation.is_some_and(|id| self.reserved(id).is_none()) {
                work.refuse(RefusalReason::Expired);
                continue;
            }
            let cached = self.cache.cached_tokens(&work.request.prefix_hashes);
            work.prefilled = cached.min(work.request.prompt_tokens.saturating_sub(1));
            self.common.counted.cached_tokens += work.prefilled;
            let prompt = &work.request.prompt;
            let fault = self.common.begin(work.request.attempt, run_key(prompt));
            if self.common.crashes(prompt) {
                return Some(self.common.faults.crash);
            }
            let _gone = work.events.try_send(Event::Begun(fault));
            self.running.push(work);
            self.cache.trim(now, self.free_tokens());
        }
        None
    }

    fn plan(&mut self) -> Plan {
        self.running.sort_by_key(Work::order);
        let mut plan = Plan::default();
        let mut budget = self.options.chunk_tokens;
        for work in &self.running {
            if work.prefill_left() == 0 {
                plan.decode.insert(work.serial);
                continue;
            }
            let tokens = work.prefill_left().min(budget);
            if tokens > 0 {
                budget -= tokens;
                plan.prefill.push((work.serial, tokens));
                plan.cost += work.prefill_cost(tokens, &self.options);
            }
        }
        if !plan.decode.is_empty() {
            plan.cost += Duration::from_secs_f64(1.0 / self.options.decode_tokens_per_s);
        }
        plan.cost = plan
            .cost
            .mul_f64(self.common.faults.slow_factor.unwrap_or(1.0) / self.options.tokens_scale);
        plan
    }

    fn finish_prefill(&mut self, now: Instant, serial: u64, tokens: u64) {
        let room_tokens = self.free_tokens();
        let Some(work) = self.running.iter_mut().find(|work| work.serial == serial) else {
            return;
        };
        work.prefilled += tokens;
        self.common.counted.prefilled_tokens += tokens;
        if work.prefill_left() == 0 {
            self.cache
                .store(now, &work.request.prefix_hashes, room_tokens);
        }
    }
}

/// The first line of a prompt, by which a test counts its runs.
fn run_key(prompt: &str) -> &str {
    prompt.lines().next().unwrap_or_default()
}
