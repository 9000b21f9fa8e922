//! Prompts: the choice of their engines, and the record of their progress.

use {
    super::{
        DecisionInputs, PromptPlacement, PromptRequest, Refusal, Serving,
        requests::MIN_RETRY_AFTER_MS,
    },
    crate::{
        catalog::EngineSpec,
        engines::{EngineLoad, Occupancy},
        fleet::{EngineGroup, EnginePace, JobId, PlacedPrompt, Placement, ReservedMemory},
        mechanism::Mechanism,
        names::TargetId,
        placement::{Candidate, Choice, PromptShape, choose, work_loss},
        targets::TargetEntry,
    },
    whinlatch_core::MonoMs,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Number of groups of engines that are tried for a prompt before it is refused. One full group may be
/// chance while another has room; two full groups are an overload.
const TRIED_GROUPS: usize = 2;
/// Engines whose reports are read before a choice by an instance that knows little of what they do.
const REPORTS_PER_CHOICE: usize = 3;
/// Time for which a report counts for further choices, in ms: that in which the work of an engine changes little.
const REPORT_TTL_MS: u64 = 500;
/// Time after it has settled for which an instance still takes engines to have work that it doesn't know, in ms.
const UNKNOWN_WORK_MS: u64 = 500;

impl Serving {
    /// Admits a prompt and returns a new id for it, or refuses it as poison or because the retry budget is
    /// used up.
    ///
    /// # Errors
    /// A [`Refusal`]; the prompt has not been sent.
    pub fn admit_prompt(&mut self, now: MonoMs, request: &PromptRequest) -> Result<JobId, Refusal> {
        self.admit_request(now, &request.admission())?;
        self.last_job_number += 1;
        Ok(JobId {
            run: self.own.run,
            number: self.last_job_number,
        })
    }

    /// Returns the groups of engines to try for a prompt, in order: one at random, and another in case that
    /// one is too busy.
    pub fn groups_to_try(&mut self) -> Vec<EngineGroup> {
        let mut groups = self.own_groups();
        self.rng.shuffle(&mut groups);
        groups.truncate(TRIED_GROUPS);
        groups
    }

    /// Records that a peer was asked to choose engines for a prompt. Even if its response never arrives,
    /// it may have recorded the prompt as sent, so the deciders of the group get a notice of its end.
    pub fn record_placement_request(&mut self, job: JobId, group: EngineGroup) {
        self.requested_groups.entry(job).or_default().push(group);
    }

    /// Chooses engines of a group for a prompt of this instance or of a peer, records it as sent to them and
    /// queues a notice for the group's deciders.
    ///
    /// # Errors
    /// A [`Refusal`]; the prompt has not been sent.
    pub fn choose_engines(
        &mut self,
        now: MonoMs,
        job: JobId,
        group: EngineGroup,
        request: &PromptRequest,
    ) -> Result<Placement, Refusal> {
        let spec = self
            .spec_of_service(&request.service)
            .ok_or(Refusal::NoTarget)?;
        let entries = self.usable_engines(now, group, request);
        if entries.is_empty() {
            return Err(Refusal::NoTarget);
        }
        let (passed_over, passed_over_by_report) =
            self.count_unreachable(now, &self.candidate_engines(group, request));
        self.engines.advance(now, &spec, &entries);
        let shape = self.shape_of(now, &spec, group, request, entries.len());
        let loads: Vec<&EngineLoad> = entries
            .iter()
            .filter_map(|id| self.engines.get(id))
            .collect();
        let candidates: Vec<Candidate<'_>> = entries
            .iter()
            .zip(&loads)
            .map(|(id, load)| Candidate {
                affinity: affinity(self.own.run, id),
                is_limited: self.is_limited(now, id),
                load,
            })
            .collect();
        let choice =
            choose(now, &spec, &shape, &candidates).ok_or_else(|| overloaded(&loads, None))?;
        let inputs = DecisionInputs {
            engines: u32::try_from(entries.len()).unwrap_or(u32::MAX),
            passed_over,
            passed_over_by_report,
            ..self.decision_inputs(now, &spec, &shape, &choice)
        };
        // A stream of which the caller has a part already is resumed in any case.
        if self.should_refuse(&shape, &inputs) && !request.is_resumed {
            return Err(overloaded(&loads, Some(inputs)));
        }
        let engines = choice
            .engines
            .iter()
            .map(|index| entries[*index].clone())
            .collect();
        let placed = PlacedPrompt {
            job,
            engines,
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
            pause_limit_ms: u32::try_from(request.pause_limit_ms).unwrap_or(u32::MAX),
            slack_ms: i32::try_from(request.slack_ms).unwrap_or(0),
            reserved: shape.reserved,
            is_prioritized: choice.is_prioritized,
            first_event_ms: choice.first_event_ms as u32,
            account: request.account,
            priority: request.priority,
        };
        self.add_placed_job(now, &spec, placed.clone());
        self.news.for_group(group).placed.push(placed.clone());
        Ok(Placement {
            placed,
            first_event_ms: choice.first_event_ms,
            inputs,
        })
    }

    /// Returns the engines whose reports to read before this instance chooses among a group for a prompt: those that it
    /// would choose, if it knows little of what others place. Empty otherwise.
    ///
    /// Guards against prompts that are placed on engines full of the streams of instances that were all killed, and
    /// wait there until their callers leave.
    pub fn engines_to_ask(
        &mut self,
        now: MonoMs,
        group: EngineGroup,
        request: &PromptRequest,
    ) -> Vec<TargetEntry> {
        if !self.is_blind(now, group) || !self.expects_unknown_work(now) {
            return Vec::new();
        }
        let Some(spec) = self.spec_of_service(&request.service) else {
            return Vec::new();
        };
        let was_asked = |id: &TargetId| {
            let load = self.engines.get(id);
            load.and_then(|load| load.asked_at)
                .is_some_and(|asked_at| now.since(asked_at) < REPORT_TTL_MS)
        };
        let run = self.own.run;
        let mut engines = self.usable_engines(now, group, request);
        engines.retain(|id| !self.is_limited(now, id) && !was_asked(id));
        engines.sort_by(|left, right| affinity(run, right).total_cmp(&affinity(run, left)));
        engines.truncate(REPORTS_PER_CHOICE);
        for id in &engines {
            self.engines.engine(now, &spec, id).asked_at = Some(now);
        }
        let entries = engines.iter().filter_map(|id| self.targets.ready_entry(id));
        entries.cloned().collect()
    }

    /// Returns whether engines may have work of which no live instance knows: this one has just started or got a new
    /// role.
    pub fn expects_unknown_work(&self, now: MonoMs) -> bool {
        now < self.settled_at + UNKNOWN_WORK_MS
    }

    /// Applies what an engine reports of its work. Has no effect once this instance knows what others place.
    pub fn apply_occupancy(&mut self, now: MonoMs, engine: &TargetEntry, occupancy: Occupancy) {
        if !self.expects_unknown_work(now) {
            return;
        }
        if let Some(spec) = self.spec_of_service(&engine.service) {
            self.engines
                .apply_occupancy(now, &spec, &engine.id, occupancy);
        }
    }

    /// Combines a prompt's request with the current state of a group of engines.
    fn shape_of(
        &mut self,
        now: MonoMs,
        spec: &EngineSpec,
        group: EngineGroup,
        request: &PromptRequest,
        engines: usize,
    ) -> PromptShape {
        let tokens = request.prompt_tokens + u64::from(request.max_answer_tokens);
        PromptShape {
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
            slack_ms: request.slack_ms.max(0) as f64,
            pause_limit_ms: request.pause_limit_ms as f64,
            patience_ms: request.patience_ms as f64,
            reserved: ReservedMemory::for_tokens(tokens, spec.memory_tokens),
            utilization: self.engines.utilization(now, group, engines),
            is_blind: self.is_blind(now, group),
            mechanisms: self.mechanisms,
        }
    }

    fn decision_inputs(
        &self,
        now: MonoMs,
        spec: &EngineSpec,
        shape: &PromptShape,
        choice: &Choice,
    ) -> DecisionInputs {
        let time_loss = if self.mechanisms.is_enabled(Mechanism::PriceOfTime) {
            work_loss(spec, shape.prompt_tokens, shape.utilization)
        } else {
            0.0
        };
        DecisionInputs {
            gain: choice.gain,
            cost_to_others: choice.cost_to_others,
            time_loss,
            utilization: shape.utilization,
            first_event_ms: choice.first_event_ms,
            is_blind: shape.is_blind,
            last_peer_prompt_age_ms: self.last_peer_prompt_at.map(|at| now.since(at)),
            ..DecisionInputs::default()
        }
    }

    /// Returns whether a prompt should be refused: its caller isn't expected to wait for the first event,
    /// or the prompt costs others more than its answer is worth.
    fn should_refuse(&self, shape: &PromptShape, inputs: &DecisionInputs) -> bool {
        let costs_too_much = inputs.cost_to_others + inputs.time_loss > inputs.gain;
        inputs.first_event_ms > shape.patience_ms
            || costs_too_much && self.mechanisms.is_enabled(Mechanism::RefusalByWorth)
    }

    /// Returns whether this instance knows little of what others place on a group's engines: it doesn't
    /// receive their prompts, or has done so only for a moment.
    ///
    /// Guards against instances that all choose the same engines when all callers return at the same time
    /// after a restart of all instances, which don't know each other yet.
    fn is_blind(&self, now: MonoMs, group: EngineGroup) -> bool {
        if !self.mechanisms.is_enabled(Mechanism::Spreading) {
            return false;
        }
        let is_informed = !self.members.is_large()
            || self
                .members
                .ranks()
                .deciders(group)
                .contains(&self.own.peer_address);
        !is_informed || now < self.settled_at
    }

    /// Records a prompt as sent to engines that were chosen here or by a peer, and returns their entries.
    /// `None` if this instance doesn't know all of them as ready, which a peer may not have learned yet.
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
            is_prioritized: placed.is_prioritized,
            first_event_ms: placement.first_event_ms,
            inputs: placement.inputs,
        })
    }

    pub(super) fn add_placed_job(&mut self, now: MonoMs, spec: &EngineSpec, placed: PlacedPrompt) {
        if let Some(engine) = placed.engines.first() {
            let group = self.groups.group_of(engine);
            self.engines.add_job(now, spec, group, placed);
        }
    }

    /// Returns the ready engines of a group to which a prompt wasn't sent before.
    fn candidate_engines<'a>(
        &'a self,
        group: EngineGroup,
        request: &'a PromptRequest,
    ) -> Vec<&'a TargetId> {
        self.targets
            .ready(&request.service)
            .map(|entry| &entry.id)
            .filter(|id| group.contains(id))
            .filter(|id| !request.excluded.contains(id))
            .collect()
    }

    /// Returns how many of some targets count as unreachable, and how many of these by the word of peers alone.
    fn count_unreachable(&self, now: MonoMs, targets: &[&TargetId]) -> (u32, u32) {
        let count = |is_counted: &dyn Fn(&TargetId) -> bool| {
            let counted = targets.iter().filter(|id| is_counted(id)).count();
            u32::try_from(counted).unwrap_or(u32::MAX)
        };
        let all = count(&|id| self.calls.is_unreachable(now, id));
        let reported = count(&|id| {
            !self.calls.has_failed_connection(now, id)
                && self.calls.is_reported_unreachable(now, id)
        });
        (all, reported)
    }

    /// Returns the ready engines of a group that may get a prompt. Unreachable ones are left out unless all
    /// are unreachable. Own failed connections say nothing while the whole service is out of reach here: peers may ask
    /// this instance to choose.
    fn usable_engines(
        &self,
        now: MonoMs,
        group: EngineGroup,
        request: &PromptRequest,
    ) -> Vec<TargetId> {
        let ready = self.candidate_engines(group, request);
        let is_out_of_reach = self.is_out_of_reach(&request.service);
        let is_passed_over = |id: &TargetId| {
            if is_out_of_reach {
                self.calls.is_reported_unreachable(now, id)
            } else {
                self.calls.is_unreachable(now, id)
            }
        };
        let reachable: Vec<TargetId> = ready
            .iter()
            .filter(|id| !self.mechanisms.is_enabled(Mechanism::PassingOver) || !is_passed_over(id))
            .map(|id| (*id).clone())
            .collect();
        if reachable.is_empty() {
            return ready.into_iter().cloned().collect();
        }
        reachable
    }

    /// Returns whether a stream should move to another engine: its own is unreachable, and another ready
    /// engine of the service is not, or a peer may reach one while this instance reaches none.
    pub fn should_move_stream(&self, now: MonoMs, engine: &TargetEntry) -> bool {
        if self.is_out_of_reach(&engine.service) {
            return self.should_leave_service(now, &engine.service);
        }
        let is_unreachable = |id: &str| self.calls.is_unreachable(now, id);
        is_unreachable(&engine.id)
            && self
                .targets
                .ready(&engine.service)
                .any(|other| other.id != engine.id && !is_unreachable(&other.id))
    }

    /// Returns the factor by which an engine is considered slower than its published pace.
    pub fn pace_of(&self, engine: &str) -> f64 {
        self.engines.pace_of(engine)
    }

    /// Records the first event of a prompt and queues a notice for its deciders.
    pub fn record_first_event(&mut self, now: MonoMs, job: JobId) {
        self.apply_first_event(now, job);
        for group in self.groups_of(job) {
            self.news.for_group(group).started.push(job);
        }
    }

    /// Records that the engine that was to answer a prompt failed, and queues a notice for its deciders. Has no effect if
    /// the link of this instance is suspect.
    pub fn record_prompt_failure(&mut self, now: MonoMs, job: JobId) {
        let placed = self.engines.job(job);
        let engine = placed.and_then(|job| job.placed.engines.first());
        if engine.is_some_and(|engine| self.is_link_suspect(now, engine)) {
            return;
        }
        for group in self.groups_of(job) {
            self.news.for_group(group).failed.push(job);
        }
        self.engines.record_failure(now, job);
    }

    /// Removes a prompt that has ended and queues a notice for its deciders.
    pub fn record_prompt_ended(&mut self, job: JobId) {
        for group in self.groups_of(job) {
            self.news.for_group(group).ended.push(job);
        }
        self.requested_groups.remove(&job);
        self.engines.remove_job(job);
    }

    /// Records an event of an engine's stream, from which the ends of its passes are derived. Queues the
    /// engine's pace for the deciders if it has changed.
    pub fn record_stream_event(&mut self, now: MonoMs, engine: &TargetEntry) {
        self.record_heard(now, &engine.id);
        let Some(spec) = self.spec_of_service(&engine.service) else {
            return;
        };
        if let Some(pace) = self.engines.record_event(now, &spec, &engine.id) {
            let id = engine.id.clone();
            let group = self.groups.group_of(&id);
            self.news
                .for_group(group)
                .paces
                .push(EnginePace { id, pace });
        }
    }
}

/// Returns the affinity of an instance's run to an engine, from 0 to 1. With it, instances that don't know
/// of each other, as after a restart of all of them, choose different engines.
fn affinity(run: u64, engine: &str) -> f64 {
    let hash = xxh3_64_with_seed(engine.as_bytes(), run);
    hash as f64 / u64::MAX as f64
}

/// Builds a refusal with the time after which half of the reading that waits is expected to be done.
fn overloaded(loads: &[&EngineLoad], inputs: Option<DecisionInputs>) -> Refusal {
    let waiting_ms: f64 = loads.iter().map(|load| load.total_ms()).sum();
    let mean_ms = waiting_ms / loads.len().max(1) as f64;
    Refusal::Overloaded {
        retry_after_ms: ((mean_ms / 2.0) as u64).max(MIN_RETRY_AFTER_MS),
        inputs,
    }
}
