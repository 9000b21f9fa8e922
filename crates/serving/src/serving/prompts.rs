//! Prompts: which engines read them, and what was seen of it.

use {
    super::{
        DecisionInputs, PromptPlacement, PromptRequest, Refusal, Serving, asks::MIN_RETRY_AFTER_MS,
    },
    crate::{
        catalog::EngineSpec,
        engines::EngineLoad,
        fleet::{EngineGroup, EnginePace, JobId, PlacedPrompt, Placement, ReservedMemory},
        mechanism::Mechanism,
        names::TargetId,
        placement::{Candidate, Choice, PromptShape, choose, work_loss},
        targets::TargetEntry,
    },
    whinlatch_core::MonoMs,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Groups of engines that are tried for a prompt before it is refused: a full group beside one that
/// has room is chance, two are a load.
const TRIED_GROUPS: usize = 2;

impl Serving {
    /// Whether a prompt may be sent at all. Returns its name.
    ///
    /// # Errors
    /// A [`Refusal`]; the prompt has not been sent.
    pub fn admit_prompt(&mut self, now: MonoMs, ask: &PromptRequest) -> Result<JobId, Refusal> {
        self.admit_request(now, &ask.service, ask.fingerprint, ask.is_repeat)?;
        self.next_job += 1;
        Ok(JobId {
            run: self.own.run,
            number: self.next_job,
        })
    }

    /// The groups of engines to try for a prompt, one after the other: the first at random, and
    /// another one should that be too busy.
    pub fn groups_to_try(&mut self) -> Vec<EngineGroup> {
        let mut groups = self.own_groups();
        self.rng.shuffle(&mut groups);
        groups.truncate(TRIED_GROUPS);
        groups
    }

    /// Notes that a peer is asked to choose for a prompt: it may have counted it as sent, whatever
    /// becomes of its answer.
    pub fn record_placement_request(&mut self, job: JobId, group: EngineGroup) {
        self.asked_groups.entry(job).or_default().push(group);
    }

    /// Chooses engines of a group for a prompt of this instance or another, counts it as sent there
    /// and tells those that are to know.
    ///
    /// # Errors
    /// A [`Refusal`]; the prompt has not been sent.
    pub fn choose_engines(
        &mut self,
        now: MonoMs,
        job: JobId,
        group: EngineGroup,
        ask: &PromptRequest,
    ) -> Result<Placement, Refusal> {
        let spec = self
            .spec_of_service(&ask.service)
            .ok_or(Refusal::NoTarget)?;
        let entries = self.usable_engines(now, group, ask);
        if entries.is_empty() {
            return Err(Refusal::NoTarget);
        }
        self.engines.advance(now, &spec, &entries);
        let shape = self.shape_of(now, &spec, group, ask, entries.len());
        let loads: Vec<&EngineLoad> = entries
            .iter()
            .filter_map(|id| self.engines.get(id))
            .collect();
        let candidates: Vec<Candidate<'_>> = entries
            .iter()
            .zip(&loads)
            .map(|(id, load)| Candidate {
                affinity: affinity(self.own.run, id),
                is_limited: self.is_limited(id),
                load,
            })
            .collect();
        let choice =
            choose(now, &spec, &shape, &candidates).ok_or_else(|| overloaded(&loads, None))?;
        let weighed = self.decision_inputs(now, &spec, &shape, &choice, entries.len());
        if self.is_not_worthwhile(&shape, &weighed) && !ask.is_resumed {
            return Err(overloaded(&loads, Some(weighed)));
        }
        let engines = choice
            .engines
            .iter()
            .map(|place| entries[*place].clone())
            .collect();
        let placed = PlacedPrompt {
            job,
            engines,
            prompt_tokens: ask.prompt_tokens,
            answer_tokens: ask.answer_tokens,
            pause_limit_ms: u32::try_from(ask.pause_limit_ms).unwrap_or(u32::MAX),
            slack_ms: i32::try_from(ask.slack_ms).unwrap_or(0),
            reserved: shape.reserved,
            goes_first: choice.goes_first,
            first_event_ms: choice.first_event_ms as u32,
        };
        self.add_placed_job(now, &spec, placed.clone());
        self.news.of(group).placed.push(placed.clone());
        Ok(Placement {
            placed,
            first_event_ms: choice.first_event_ms,
            inputs: weighed,
        })
    }

    /// What a prompt asks of a group's engines now.
    fn shape_of(
        &mut self,
        now: MonoMs,
        spec: &EngineSpec,
        group: EngineGroup,
        ask: &PromptRequest,
        engines: usize,
    ) -> PromptShape {
        let tokens = ask.prompt_tokens + u64::from(ask.most_answer_tokens);
        PromptShape {
            prompt_tokens: ask.prompt_tokens,
            answer_tokens: ask.answer_tokens,
            slack_ms: ask.slack_ms.max(0) as f64,
            pause_limit_ms: ask.pause_limit_ms as f64,
            patience_ms: ask.patience_ms as f64,
            reserved: ReservedMemory::for_tokens(tokens, spec.memory_tokens),
            utilization: self.engines.utilization(now, group, engines),
            is_blind: self.is_blind(now, group),
            without: self.without,
        }
    }

    fn decision_inputs(
        &self,
        now: MonoMs,
        spec: &EngineSpec,
        shape: &PromptShape,
        choice: &Choice,
        engines: usize,
    ) -> DecisionInputs {
        let time_loss = if self.without.has(Mechanism::PriceOfTime) {
            work_loss(spec, shape.prompt_tokens, shape.utilization)
        } else {
            0.0
        };
        DecisionInputs {
            gain: choice.gain,
            harm: choice.cost_to_others,
            time_loss,
            used: shape.utilization,
            first_event_ms: choice.first_event_ms,
            engines: u32::try_from(engines).unwrap_or(u32::MAX),
            is_blind: shape.is_blind,
            heard_ms_ago: self.heard_at.map(|at| now.since(at)),
        }
    }

    /// Whether nobody would wait for the answer, or others would lose more by it than it is worth. A
    /// stream that its caller has a part of is resumed all the same.
    fn is_not_worthwhile(&self, shape: &PromptShape, weighed: &DecisionInputs) -> bool {
        let costs_too_much = weighed.harm + weighed.time_loss > weighed.gain;
        weighed.first_event_ms > shape.patience_ms
            || costs_too_much && self.without.has(Mechanism::RefusalByWorth)
    }

    /// Whether this instance knows little of what others place on a group's engines: it isn't told, or
    /// has been for a moment only.
    ///
    /// The load that this answers: all callers come back at once to instances that were all started
    /// anew and don't know each other yet.
    fn is_blind(&self, now: MonoMs, group: EngineGroup) -> bool {
        if !self.without.has(Mechanism::Spreading) {
            return false;
        }
        let is_told = !self.members.is_large()
            || self
                .members
                .ranks()
                .deciders(group)
                .contains(&self.own.peer_address);
        !is_told || now < self.settled_at
    }

    /// Takes up engines that were chosen here or by a peer; `None` if this instance doesn't know
    /// all of them as ready, which the peer may not have heard yet.
    pub fn accept_placement(
        &mut self,
        now: MonoMs,
        placement: &Placement,
    ) -> Option<PromptPlacement> {
        let placed = &placement.placed;
        let entries: Option<Vec<TargetEntry>> = placed
            .engines
            .iter()
            .map(|id| self.targets.ready_entry(id).cloned())
            .collect();
        let mut entries = entries.filter(|entries| !entries.is_empty())?;
        if let Some(spec) = self.spec_of(placed) {
            self.add_placed_job(now, &spec, placed.clone());
        }
        let helpers = entries.split_off(1);
        Some(PromptPlacement {
            job: placed.job,
            engine: entries.remove(0),
            helpers,
            reserved: placed.reserved,
            goes_first: placed.goes_first,
            first_event_ms: placement.first_event_ms,
            weighed: placement.inputs,
        })
    }

    pub(super) fn add_placed_job(&mut self, now: MonoMs, spec: &EngineSpec, placed: PlacedPrompt) {
        if let Some(engine) = placed.engines.first() {
            let group = self.groups.group_of(engine);
            self.engines.add_job(now, spec, group, placed);
        }
    }

    fn usable_engines(
        &self,
        now: MonoMs,
        group: EngineGroup,
        ask: &PromptRequest,
    ) -> Vec<TargetId> {
        let ready: Vec<&TargetId> = self
            .targets
            .ready(&ask.service)
            .map(|entry| &entry.id)
            .filter(|id| group.contains(id))
            .filter(|id| !ask.excluded.contains(id))
            .collect();
        let reachable: Vec<TargetId> = ready
            .iter()
            .filter(|id| {
                !self.without.has(Mechanism::PassingOver) || !self.calls.is_unreachable(now, id)
            })
            .map(|id| (*id).clone())
            .collect();
        if reachable.is_empty() {
            return ready.into_iter().cloned().collect();
        }
        reachable
    }

    /// Whether a stream is to be moved to another engine: its own can't be reached, and there is one
    /// that can.
    pub fn should_move_stream(&self, now: MonoMs, engine: &TargetEntry) -> bool {
        let is_lost = |id: &str| self.calls.is_unreachable(now, id);
        is_lost(&engine.id)
            && self
                .targets
                .ready(&engine.service)
                .any(|other| other.id != engine.id && !is_lost(&other.id))
    }

    /// How many times slower than published an engine is taken to be.
    pub fn pace_of(&self, engine: &str) -> f64 {
        self.engines.pace_of(engine)
    }

    /// Notes the first event of a prompt.
    pub fn record_first_event(&mut self, now: MonoMs, job: JobId) {
        self.apply_first_event(now, job);
        for group in self.groups_of(job) {
            self.news.of(group).started.push(job);
        }
    }

    /// Notes that the engine that was to answer a prompt failed it.
    pub fn record_prompt_failure(&mut self, now: MonoMs, job: JobId) {
        for group in self.groups_of(job) {
            self.news.of(group).failed.push(job);
        }
        self.engines.record_failure(now, job);
    }

    /// Notes that a prompt is over.
    pub fn record_prompt_ended(&mut self, job: JobId) {
        for group in self.groups_of(job) {
            self.news.of(group).ended.push(job);
        }
        self.asked_groups.remove(&job);
        self.engines.remove_job(job);
    }

    /// Notes an event of a stream of an engine, which tells when its passes end.
    pub fn record_stream_event(&mut self, now: MonoMs, engine: &TargetEntry) {
        let Some(spec) = self.spec_of_service(&engine.service) else {
            return;
        };
        if let Some(pace) = self.engines.record_event(now, &spec, &engine.id) {
            let id = engine.id.clone();
            let group = self.groups.group_of(&id);
            self.news.of(group).paces.push(EnginePace { id, pace });
        }
    }
}

/// How much this instance likes an engine, from 0 to 1: instances that know nothing of each other,
/// as after a start of all of them, choose different engines then.
fn affinity(run: u64, engine: &str) -> f64 {
    let hash = xxh3_64_with_seed(engine.as_bytes(), run);
    hash as f64 / u64::MAX as f64
}

/// A refusal with the time after which half of what is waiting to be read will have been read.
fn overloaded(loads: &[&EngineLoad], weighed: Option<DecisionInputs>) -> Refusal {
    let waiting_ms: f64 = loads.iter().map(|load| load.total_ms()).sum();
    let mean_ms = waiting_ms / loads.len().max(1) as f64;
    Refusal::Overloaded {
        retry_after_ms: ((mean_ms / 2.0) as u64).max(MIN_RETRY_AFTER_MS),
        weighed,
    }
}
