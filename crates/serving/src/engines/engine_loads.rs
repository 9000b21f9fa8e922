use {
    super::{EngineLoad, Part, WorkRate, Writer},
    crate::{
        catalog::EngineSpec,
        fleet::{EngineGroup, JobId, PlacedPrompt},
        names::TargetId,
        placement::value_of,
    },
    std::collections::HashMap,
    whinlatch_core::MonoMs,
};

/// Longest time for which a prompt is counted whose end nobody told, in ms: over the longest
/// deadline, so that only what was lost is dropped.
const JOB_LIFE_MS: u64 = 30_000;

/// A prompt at work somewhere in the fleet.
#[derive(Debug, Clone)]
pub struct Job {
    /// What was told of it.
    pub placed: PlacedPrompt,
    /// The engines among which it was placed.
    pub group: EngineGroup,
    /// When it was sent.
    pub sent_at: MonoMs,
    /// Whether its first event came.
    pub has_begun: bool,
}

/// The engines and the prompts at work on them, of this instance and its peers.
#[derive(Debug, Default)]
pub struct EngineLoads {
    engines: HashMap<TargetId, EngineLoad>,
    jobs: HashMap<JobId, Job>,
    work: HashMap<EngineGroup, WorkRate>,
}

impl EngineLoads {
    /// An engine brought to `now`.
    pub fn engine(&mut self, now: MonoMs, spec: &EngineSpec, id: &TargetId) -> &mut EngineLoad {
        let engine = self
            .engines
            .entry(id.clone())
            .or_insert_with(|| EngineLoad::new(now));
        engine.advance(now, spec);
        engine
    }

    /// Brings engines to `now`.
    pub fn advance(&mut self, now: MonoMs, spec: &EngineSpec, ids: &[TargetId]) {
        for id in ids {
            self.engine(now, spec, id);
        }
    }

    /// An engine as it was brought up to date last.
    pub fn get(&self, id: &str) -> Option<&EngineLoad> {
        self.engines.get(id)
    }

    /// Share of the time of a group's engines that was given reading of late.
    pub fn used(&mut self, now: MonoMs, group: EngineGroup, engines: usize) -> f64 {
        self.work.entry(group).or_default().used(now, engines)
    }

    /// A prompt at work.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Notes a prompt that was sent to engines of a group.
    pub fn placed(
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
        for (place, id) in placed.engines.iter().enumerate() {
            let engine = self.engine(now, spec, id);
            let is_helper = place > 0;
            engine.parts.push(Part {
                job: placed.job,
                left_ms: part_ms * engine.pace,
                token_ms: part_ms * engine.pace / part_tokens,
                is_helper,
                goes_first: is_helper || placed.goes_first,
                late_at: now + slack_ms,
                begins_at: now + u64::from(placed.first_event_ms),
                pause_limit_ms: f64::from(placed.pause_limit_ms),
                value,
                in_pass: false,
            });
            engine.helping += usize::from(is_helper);
            engine.memory_tokens += memory_tokens(&placed, place);
        }
        let job = Job {
            placed,
            group,
            sent_at: now,
            has_begun: false,
        };
        self.jobs.insert(job.placed.job, job);
    }

    /// Notes the first event of a prompt: all of it is read, and its engine writes.
    pub fn begun(&mut self, now: MonoMs, spec: &EngineSpec, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut job.has_begun, true) {
            return;
        }
        let placed = job.placed.clone();
        let late = now.since(job.sent_at) > u64::try_from(placed.slack_ms).unwrap_or(0);
        let mut engines = placed.engines.iter();
        if let Some(first) = engines.next() {
            let engine = self.engine(now, spec, first);
            engine.failures.note(now, false);
            engine.begins(Writer {
                job: id,
                pause_limit_ms: f64::from(placed.pause_limit_ms),
                value: value_of(placed.prompt_tokens),
                is_late: late,
            });
        }
        for helper in engines {
            self.engine(now, spec, helper).drop_job(id);
        }
    }

    /// Notes that the engine that was to answer a prompt failed it.
    pub fn failed(&mut self, now: MonoMs, id: JobId) {
        let engine = self
            .jobs
            .get(&id)
            .and_then(|job| job.placed.engines.first());
        if let Some(engine) = engine.and_then(|id| self.engines.get_mut(id)) {
            engine.failures.note(now, true);
        }
    }

    /// Notes an event of a stream of an engine. Returns the engine's pace if that changed it.
    pub fn event_seen(&mut self, now: MonoMs, spec: &EngineSpec, engine: &TargetId) -> Option<f64> {
        let engine = self.engines.get_mut(engine)?;
        engine.event_seen(now, spec).then_some(engine.pace)
    }

    /// Notes the pace of an engine that it reported or a peer has seen. Returns whether that changes
    /// much.
    pub fn paced(&mut self, now: MonoMs, spec: &EngineSpec, engine: &TargetId, pace: f64) -> bool {
        self.engine(now, spec, engine).set_pace(pace)
    }

    /// How many times slower than published an engine is taken to be.
    pub fn pace_of(&self, engine: &str) -> f64 {
        self.engines.get(engine).map_or(1.0, |engine| engine.pace)
    }

    /// Notes that a prompt is over. What no engine has read of it doesn't count as given to them.
    ///
    /// Guards against prompts that engines don't take, or whose callers leave: each attempt at a long
    /// one counted as seconds of the engines' time, so that the next was refused as too much.
    pub fn ended(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let engines = job.placed.engines.iter();
        let unread_ms = engines
            .filter_map(|engine| self.engines.get(engine))
            .map(|engine| engine.unread_ms(id))
            .sum();
        if let Some(work) = self.work.get_mut(&job.group) {
            work.take_back(job.sent_at, unread_ms);
        }
        for (place, engine) in job.placed.engines.iter().enumerate() {
            let Some(engine) = self.engines.get_mut(engine) else {
                continue;
            };
            engine.drop_job(id);
            engine.helping = engine.helping.saturating_sub(usize::from(place > 0));
            let tokens = memory_tokens(&job.placed, place);
            engine.memory_tokens = engine.memory_tokens.saturating_sub(tokens);
        }
    }

    /// Drops the prompts of a run that is gone, but for those in `keep`.
    pub fn drop_run(&mut self, run: u64, keep: &[JobId]) {
        let gone: Vec<JobId> = self
            .jobs
            .keys()
            .filter(|id| id.run == run && !keep.contains(id))
            .copied()
            .collect();
        for id in gone {
            self.ended(id);
        }
    }

    /// The prompts of one run, for a peer that has just linked.
    pub fn jobs_of(&self, run: u64) -> impl Iterator<Item = &Job> {
        self.jobs
            .values()
            .filter(move |job| job.placed.job.run == run)
    }

    /// Drops prompts whose end was lost, and engines that aren't published any more.
    pub fn forget_old(&mut self, now: MonoMs, is_published: impl Fn(&str) -> bool) {
        let old: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| now.since(job.sent_at) > JOB_LIFE_MS)
            .map(|job| job.placed.job)
            .collect();
        for id in old {
            self.ended(id);
        }
        self.engines
            .retain(|id, engine| engine.running() > 0 || is_published(id));
    }
}

/// Tokens of memory that a prompt takes at one of its engines.
fn memory_tokens(placed: &PlacedPrompt, place: usize) -> u64 {
    let whole = placed.prompt_tokens + u64::from(placed.answer_tokens);
    match placed.reserved {
        None if place == 0 => whole,
        Some(reserved) if (1..=reserved.engines).contains(&place) => reserved.tokens,
        _ => 0,
    }
}
