use {
    super::{
        state::FakeEngine,
        work::{EngineRequest, RequestEvent},
    },
    crate::target::CrashOptions,
    std::{
        collections::HashSet,
        time::{Duration, Instant},
    },
    whinlatch_wire::target::RefusalReason,
};

/// Next action of the engine loop.
#[derive(Debug)]
pub enum Step {
    /// No request can run now.
    Idle,
    /// A prompt with the crash marker has started.
    Crash(CrashOptions),
    /// A step of the batch is to be computed.
    Run(StepPlan),
}

/// One step of the batch: one token for each decoding request, and a chunk of prompt tokens to prefill.
#[derive(Debug, Default)]
pub struct StepPlan {
    /// Computing time of the step.
    pub cost: Duration,
    /// Serial numbers of the decoding requests.
    decode: HashSet<u64>,
    /// Serial numbers with the prompt tokens to prefill.
    prefill: Vec<(u64, u64)>,
}

impl FakeEngine {
    pub fn start_step(&mut self, now: Instant) -> Step {
        self.drop_expired(now);
        self.record_report(now);
        if let Some(options) = self.start_waiting(now) {
            return Step::Crash(options);
        }
        if self.running.is_empty() {
            return Step::Idle;
        }
        Step::Run(self.plan())
    }

    /// Returns true while at least one request of the step is still running; otherwise the step is abandoned.
    pub fn is_still_needed(&mut self, now: Instant, plan: &StepPlan) -> bool {
        self.drop_expired(now);
        self.record_report(now);
        let requests = plan
            .prefill
            .iter()
            .map(|(serial, _tokens)| serial)
            .chain(&plan.decode);
        let running = |serial: &u64| self.running.iter().any(|request| request.serial == *serial);
        requests.into_iter().any(running)
    }

    pub fn finish_step(&mut self, now: Instant, plan: &StepPlan) {
        for (serial, tokens) in &plan.prefill {
            self.finish_prefill(now, *serial, *tokens);
        }
        for request in self
            .running
            .iter_mut()
            .filter(|request| plan.decode.contains(&request.serial))
        {
            request.decode_token();
        }
        for request in self
            .running
            .extract_if(.., |request| request.next_chunk >= request.chunks)
        {
            self.common.record_end(prompt_key(&request.params.prompt));
        }
    }

    /// Starts waiting requests by priority, then order of arrival, until one doesn't fit. Returns the crash
    /// options if a prompt with the crash marker starts.
    fn start_waiting(&mut self, now: Instant) -> Option<CrashOptions> {
        self.waiting.sort_by_key(EngineRequest::queue_key);
        while self.running.len() < self.options.slots {
            let first = self.waiting.first()?;
            if first.own_memory_tokens > self.free_tokens() {
                return None;
            }
            let mut request = self.waiting.remove(0);
            let reservation = request.params.reservation;
            if reservation.is_some_and(|id| self.reserved(id).is_none()) {
                request.refuse(RefusalReason::Expired);
                continue;
            }
            let cached = self.cache.cached_tokens(&request.params.prefix_hashes);
            request.prefilled = cached.min(request.params.prompt_tokens.saturating_sub(1));
            self.common.stats.cached_tokens += request.prefilled;
            let prompt = &request.params.prompt;
            let fault = self
                .common
                .record_start(request.params.attempt, prompt_key(prompt));
            if self.common.has_crash_marker(prompt) {
                return Some(self.common.faults.crash);
            }
            let _gone = request.events.try_send(RequestEvent::Started(fault));
            self.running.push(request);
            self.cache.evict_to(now, self.free_tokens());
        }
        None
    }

    fn plan(&mut self) -> StepPlan {
        self.running.sort_by_key(EngineRequest::queue_key);
        let mut plan = StepPlan::default();
        let mut budget = self.options.chunk_tokens;
        for request in &self.running {
            if request.prefill_left() == 0 {
                plan.decode.insert(request.serial);
                continue;
            }
            let tokens = request.prefill_left().min(budget);
            if tokens > 0 {
                budget -= tokens;
                plan.prefill.push((request.serial, tokens));
                plan.cost += request.prefill_cost(tokens, &self.options);
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
        let free_tokens = self.free_tokens();
        let Some(request) = self
            .running
            .iter_mut()
            .find(|request| request.serial == serial)
        else {
            return;
        };
        request.prefilled += tokens;
        self.common.stats.prefilled_tokens += tokens;
        if request.prefill_left() == 0 {
            self.cache
                .store(now, &request.params.prefix_hashes, free_tokens);
        }
    }
}

/// Returns the first line of a prompt, the key under which the statistics count its runs.
fn prompt_key(prompt: &str) -> &str {
    prompt.lines().next().unwrap_or_default()
}
