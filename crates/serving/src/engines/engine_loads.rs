use {
    super::{EngineLoad, Occupancy, UnreadPart, WorkRate, WritingStream},
    crate::{
        catalog::EngineSpec,
        fleet::{EngineGroup, JobId, PlacedPrompt},
        names::TargetId,
        placement::value_of,
    },
    std::collections::HashMap,
    whinlatch_core::MonoMs,
};

/// Time after which a prompt is evicted whose end was never reported, in ms: over the longest deadline, so
/// that only prompts whose report was lost are evicted.
const JOB_TTL_MS: u64 = 30_000;

/// A prompt in flight: some instance of the fleet sent it to engines, and its end hasn't been reported.
#[derive(Debug, Clone)]
pub struct Job {
    /// The prompt and its engines, as chosen here or reported by a peer.
    pub placed: PlacedPrompt,
    /// Group of the engines.
    pub group: EngineGroup,
    /// When the prompt was recorded here.
    pub sent_at: MonoMs,
    /// Whether the first event was reported.
    pub has_started: bool,
}

/// Predicted load of the engines, and the prompts of this instance and its peers in flight on them.
#[derive(Debug, Default)]
pub struct EngineLoads {
    engines: HashMap<TargetId, EngineLoad>,
    jobs: HashMap<JobId, Job>,
    work: HashMap<EngineGroup, WorkRate>,
}

impl EngineLoads {
    /// Returns an engine advanced to `now`, idle if it wasn't known.
    pub fn engine(&mut self, now: MonoMs, spec: &EngineSpec, id: &TargetId) -> &mut EngineLoad {
        let engine = self
            .engines
            .entry(id.clone())
            .or_insert_with(|| EngineLoad::new(now));
        engine.advance(now, spec);
        engine
    }

    /// Advances engines to `now`.
    pub fn advance(&mut self, now: MonoMs, spec: &EngineSpec, ids: &[TargetId]) {
        for id in ids {
            self.engine(now, spec, id);
        }
    }

    /// Returns an engine in the state to which it was last advanced.
    pub fn get(&self, id: &str) -> Option<&EngineLoad> {
        self.engines.get(id)
    }

    /// Returns the share of the time of a group's engines that recently assigned reading takes.
    pub fn utilization(&mut self, now: MonoMs, group: EngineGroup, engines: usize) -> f64 {
        self.work
            .entry(group)
            .or_default()
            .utilization(now, engines)
    }

    /// Returns a prompt in flight; `None` if it has ended or isn't known.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Adds a prompt that was sent to engines of a group. Has no effect if it is known.
    pub fn add_job(
        &mut self,
        now: MonoMs,
        spec: &EngineSpec,
        group: EngineGroup,
        placed: PlacedPrompt,
    ) {
        if self.jobs.contains_key(&placed.job) {
            return;
        }
        let degree = placed.engines.len().max(1);
        let part_ms = spec.part_ms(placed.prompt_tokens, degree);
        let work = self.work.entry(group).or_default();
        work.add(now, spec.read_ms(placed.prompt_tokens));
        let part_tokens = placed.prompt_tokens.max(1) as f64 / degree as f64;
        let slack_ms = u64::try_from(placed.slack_ms).unwrap_or(0);
        let value = value_of(placed.prompt_tokens);
        for (index, id) in placed.engines.iter().enumerate() {
            let engine = self.engine(now, spec, id);
            let is_helper = index > 0;
            engine.parts.push(UnreadPart {
                job: placed.job,
                left_ms: part_ms * engine.pace,
                token_ms: part_ms * engine.pace / part_tokens,
                is_helper,
                is_prioritized: is_helper || placed.is_prioritized,
                late_at: now + slack_ms,
                first_event_at: now + u64::from(placed.first_event_ms),
                pause_limit_ms: f64::from(placed.pause_limit_ms),
                value,
                in_pass: false,
            });
            engine.helping += usize::from(is_helper);
            engine.memory_tokens += memory_tokens(&placed, index);
        }
        let job = Job {
            placed,
            group,
            sent_at: now,
            has_started: false,
        };
        self.jobs.insert(job.placed.job, job);
    }

    /// Records the first event of a prompt: all of it has been read, and its engine writes the stream.
    pub fn record_first_event(&mut self, now: MonoMs, spec: &EngineSpec, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut job.has_started, true) {
            return;
        }
        let placed = job.placed.clone();
        let is_late = now.since(job.sent_at) > u64::try_from(placed.slack_ms).unwrap_or(0);
        let mut engines = placed.engines.iter();
        if let Some(first) = engines.next() {
            let engine = self.engine(now, spec, first);
            engine.failures.record(now, false);
            engine.start_stream(WritingStream {
                job: id,
                pause_limit_ms: f64::from(placed.pause_limit_ms),
                value: value_of(placed.prompt_tokens),
                is_late,
            });
        }
        for helper in engines {
            self.engine(now, spec, helper).remove_job(id);
        }
    }

    /// Records that the engine that was to answer a prompt failed it.
    pub fn record_failure(&mut self, now: MonoMs, id: JobId) {
        let engine = self
            .jobs
            .get(&id)
            .and_then(|job| job.placed.engines.first());
        if let Some(engine) = engine.and_then(|id| self.engines.get_mut(id)) {
            engine.failures.record(now, true);
        }
    }

    /// Records an event of one of an engine's streams. Returns the engine's pace if this changed it.
    pub fn record_event(
        &mut self,
        now: MonoMs,
        spec: &EngineSpec,
        engine: &TargetId,
    ) -> Option<f64> {
        let engine = self.engines.get_mut(engine)?;
        engine.record_event(now, spec).then_some(engine.pace)
    }

    /// Applies an engine's pace, as reported by the engine or observed by a peer. Returns whether it differs
    /// enough from the known pace to replace it.
    pub fn apply_pace(
        &mut self,
        now: MonoMs,
        spec: &EngineSpec,
        engine: &TargetId,
        pace: f64,
    ) -> bool {
        self.engine(now, spec, engine).set_pace(pace)
    }

    /// Applies what an engine reports of its work.
    pub fn apply_occupancy(
        &mut self,
        now: MonoMs,
        spec: &EngineSpec,
        engine: &TargetId,
        occupancy: Occupancy,
    ) {
        self.engine(now, spec, engine)
            .apply_occupancy(now, occupancy);
    }

    /// Returns an engine's slowdown against its published speed; 1 if nothing is known.
    pub fn pace_of(&self, engine: &str) -> f64 {
        self.engines.get(engine).map_or(1.0, |engine| engine.pace)
    }

    /// Removes a prompt that is over, and subtracts what was never read of it from the assigned reading.
    ///
    /// Guards against prompts that engines reject or whose callers leave: each attempt at a long prompt would
    /// count as seconds of the engines' time, so that the next attempt is refused as too expensive.
    pub fn remove_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let engines = job.placed.engines.iter();
        let unread_ms = engines
            .filter_map(|engine| self.engines.get(engine))
            .map(|engine| engine.unread_ms(id))
            .sum();
        if let Some(work) = self.work.get_mut(&job.group) {
            work.subtract(job.sent_at, unread_ms);
        }
        for (index, engine) in job.placed.engines.iter().enumerate() {
            let Some(engine) = self.engines.get_mut(engine) else {
                continue;
            };
            engine.remove_job(id);
            engine.helping = engine.helping.saturating_sub(usize::from(index > 0));
            let tokens = memory_tokens(&job.placed, index);
            engine.memory_tokens = engine.memory_tokens.saturating_sub(tokens);
        }
    }

    /// Removes the prompts of a run of an instance, except those in `keep`.
    pub fn remove_run(&mut self, run: u64, keep: &[JobId]) {
        let removed: Vec<JobId> = self
            .jobs
            .keys()
            .filter(|id| id.run == run && !keep.contains(id))
            .copied()
            .collect();
        for id in removed {
            self.remove_job(id);
        }
    }

    /// Returns the prompts of one run of an instance, for a peer that has just linked.
    pub fn jobs_of_run(&self, run: u64) -> impl Iterator<Item = &Job> {
        self.jobs
            .values()
            .filter(move |job| job.placed.job.run == run)
    }

    /// Evicts prompts whose end was never reported, and unpublished engines that answer no prompt.
    pub fn evict_expired(&mut self, now: MonoMs, is_published: impl Fn(&str) -> bool) {
        let expired: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| now.since(job.sent_at) > JOB_TTL_MS)
            .map(|job| job.placed.job)
            .collect();
        for id in expired {
            self.remove_job(id);
        }
        self.engines
            .retain(|id, engine| engine.running() > 0 || is_published(id));
    }
}

/// Returns the memory that a prompt takes at its engine `index`, in tokens; the engine that answers is 0.
fn memory_tokens(placed: &PlacedPrompt, index: usize) -> u64 {
    let whole = placed.prompt_tokens + u64::from(placed.answer_tokens);
    match placed.reserved {
        None if index == 0 => whole,
        Some(reserved) if (1..=reserved.engines).contains(&index) => reserved.tokens,
        _ => 0,
    }
}
