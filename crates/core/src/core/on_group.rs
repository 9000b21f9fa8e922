//! Groups of engines for long prompts: reserved all or none, renewed while in use, and released at every
//! end of the request.

use {
    super::Core,
    crate::{
        action::{Action, TargetCall},
        decisions::Subsystem,
        fleet::QueuedPrompt,
        placement::{
            ChosenGroup, DueGroup, Group, GroupError, GroupState, Part, RESERVE_TIMEOUT_MS,
            WaitingPrompt,
        },
        requests::Request,
        routing::{RoutingContext, RoutingRequest, predict_choice},
        time::MonoMs,
    },
    whinlatch_wire::{
        caller::Reason,
        ids::{AttemptId, RequestId, TargetName},
        target::ReleaseRequest,
    },
};

/// Time in ms by which a long prompt is ranked earlier for each ms of its prefill time, multiplied by the
/// policy's `long_first_token_weight`. At 0, prompts are ranked by acceptance alone.
const RANK_ADVANCE_PER_READ_MS: f64 = 0.0;
/// Prefill time per token that the rank of a long prompt assumes, in ms. The same for all engines, since the
/// rank is needed before engines are chosen.
const RANK_TOKEN_MS: f64 = 0.05;
/// Maximum delay before the first retry to reserve a group, in ms. It doubles with each failed attempt up
/// to [`MAX_BACK_OFF_MS`].
const INITIAL_BACK_OFF_MS: u64 = 50;
/// Maximum delay before any retry to reserve a group, in ms.
const MAX_BACK_OFF_MS: u64 = 400;
/// Delay after which a caller may retry if too few engines are live, in ms.
const NONE_LIVE_RETRY_MS: u64 = 5_000;

impl Core {
    /// Chooses engines for a long prompt and queues it at them. Reserves the engines if the prompt can start
    /// immediately, otherwise schedules a retry.
    pub(super) fn place_on_engines(&mut self, now: MonoMs, request: RequestId) {
        let avoided = self.avoided_targets(now, request);
        let alone = self.must_run_alone(now, request);
        let Some(mut group) = self.take_released_group(now, request) else {
            return;
        };
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let policy = self.records.in_force().policy();
        let routing_request =
            RoutingRequest::new(&entry.submission.work, &entry.route, &avoided, policy)
                .alone(alone);
        let context = RoutingContext {
            now,
            in_force: self.records.in_force(),
            targets: &self.targets,
            daemons: self.members.alive().count() + 1,
        };
        let waiting = WaitingPrompt {
            since: self.queued_since(entry),
            queue_id: group.queue_id,
        };
        let chosen = self.router.choose_group(
            &context,
            &routing_request,
            waiting,
            group.provider,
            &mut self.rng,
        );
        match chosen {
            Ok(chosen) => {
                self.queue_at_engines(now, request, &mut group, waiting, &chosen);
                if chosen.starts_now {
                    self.acquire(now, request, group, chosen);
                } else {
                    self.schedule_retry(now, request, group);
                }
            }
            Err(GroupError::NoneLive) => {
                let message = GroupError::NoneLive.to_string();
                let retry = Some(NONE_LIVE_RETRY_MS);
                let kind = self.current_outcome_kind(request);
                self.remove_from_queues(&group);
                self.finish(now, request, kind, Reason::NoTarget, &message, retry);
            }
            Err(GroupError::TooLong) => {
                self.remove_from_queues(&group);
                let message = GroupError::TooLong.to_string();
                self.give_up(now, request, Reason::PromptTooLong, &message);
            }
        }
    }

    /// Returns the time by which a long prompt is ranked among the waiting ones, earliest first: when it was
    /// accepted, less [`RANK_ADVANCE_PER_READ_MS`] for its prefill. A prompt that takes longer to prefill ranks
    /// earlier, since its position among the others costs them least.
    fn queued_since(&self, entry: &Request) -> MonoMs {
        let policy = self.records.in_force().policy();
        let routing_request =
            RoutingRequest::new(&entry.submission.work, &entry.route, &entry.tried, policy);
        let read_ms = routing_request.prompt_tokens() as f64 * RANK_TOKEN_MS;
        let ahead_ms = read_ms * RANK_ADVANCE_PER_READ_MS * policy.long_first_token_weight;
        MonoMs(entry.accepted.0.saturating_sub(ahead_ms as u64))
    }

    /// Removes the request's group and releases its reservations, or creates a group and assigns it the next
    /// provider by the route's shares. `None` if the request has ended.
    fn take_released_group(&mut self, now: MonoMs, request: RequestId) -> Option<Group> {
        if let Some(group) = self.groups.remove(request) {
            self.release_parts(&group);
            return Some(Group {
                parts: Vec::new(),
                state: GroupState::Waiting { retry_at: now },
                ..group
            });
        }
        let queue_id = self.random_attempt_id();
        let entry = self.requests.get(request)?;
        let policy = self.records.in_force().policy();
        let routing_request =
            RoutingRequest::new(&entry.submission.work, &entry.route, &entry.tried, policy);
        let provider = self.router.assign_provider(&routing_request, &mut self.rng);
        Some(Group::new(now, queue_id, provider))
    }

    /// Queues the prompt at the chosen engines and removes it from the queues of all others.
    fn queue_at_engines(
        &mut self,
        now: MonoMs,
        request: RequestId,
        group: &mut Group,
        waiting: WaitingPrompt,
        chosen: &ChosenGroup,
    ) {
        if group.queued_targets != chosen.targets {
            let names: Vec<&str> = chosen.targets.iter().map(TargetName::as_str).collect();
            let names = names.join(", ");
            let text = format!("queued at {names}, free in {:.0} ms", chosen.wait_ms);
            self.record_decision(now, Subsystem::Placement, Some(request), text);
            self.remove_from_queues(group);
            self.unsent_loads.extend(chosen.targets.iter().cloned());
            group.queued_targets.clone_from(&chosen.targets);
        }
        let prompt = QueuedPrompt {
            id: waiting.queue_id,
            since: waiting.since,
            read_ms: chosen.read_ms,
        };
        for target in &group.queued_targets {
            if let Some(state) = self.targets.get_mut(target) {
                state.load.enqueue(prompt);
            }
        }
    }

    fn remove_from_queues(&mut self, group: &Group) {
        for target in &group.queued_targets {
            let state = self.targets.get_mut(target);
            if state.is_some_and(|state| state.load.dequeue(group.queue_id)) {
                self.unsent_loads.push(target.clone());
            }
        }
    }

    /// Schedules the next attempt to reserve the group. The jitter keeps daemons that collided at the same
    /// engines from colliding again.
    fn schedule_retry(&mut self, now: MonoMs, request: RequestId, mut group: Group) {
        let full_ms = (INITIAL_BACK_OFF_MS << group.failed_attempts.min(8)).min(MAX_BACK_OFF_MS);
        let retry_at = now + self.rng.u64(full_ms / 2..=full_ms);
        group.state = GroupState::Waiting { retry_at };
        self.groups.insert(request, group);
    }

    fn new_part(&mut self, target: TargetName) -> Option<Part> {
        let reservation = self.random_attempt_id();
        let state = self.targets.get(&target)?;
        Some(Part {
            address: state.address,
            incarnation: state.incarnation?,
            reservation,
            target,
        })
    }

    fn acquire(&mut self, now: MonoMs, request: RequestId, mut group: Group, chosen: ChosenGroup) {
        let names: Vec<&str> = chosen.targets.iter().map(TargetName::as_str).collect();
        let text = format!(
            "reserving at {}: {} tokens each, attempt {}",
            names.join(", "),
            chosen.part_tokens,
            group.failed_attempts + 1
        );
        self.record_decision(now, Subsystem::Placement, Some(request), text);
        group.part_tokens = chosen.part_tokens;
        group.parts = chosen
            .targets
            .into_iter()
            .filter_map(|target| self.new_part(target))
            .collect();
        group.state = GroupState::Acquiring {
            next: 0,
            requested_at: now,
        };
        self.groups.insert(request, group);
        self.reserve_next(now, request);
    }

    fn reserve_next(&mut self, now: MonoMs, request: RequestId) {
        let Some(group) = self.groups.get(request) else {
            return;
        };
        let Some(part) = group.pending_part().cloned() else {
            return;
        };
        self.reserve(now, request, &part);
    }

    /// Requests or renews the reservation of a part. The request expires, so that a daemon that was paused
    /// doesn't reserve memory for a request that has ended in the meantime.
    fn reserve(&mut self, now: MonoMs, request: RequestId, part: &Part) {
        let Some(group) = self.groups.get(request) else {
            return;
        };
        let reserve = group.reserve_request(part, self.options.incarnation);
        self.emit(Action::Call {
            target: part.target.clone(),
            address: part.address,
            call: TargetCall::Reserve {
                reserve,
                send_before: now + RESERVE_TIMEOUT_MS,
            },
        });
    }

    pub(super) fn on_reserved(&mut self, now: MonoMs, target: &TargetName, reservation: AttemptId) {
        let Some(request) = self.groups.of_reservation(reservation) else {
            // The request ended, or its group was released, before the engine's answer arrived.
            self.release(target, reservation);
            return;
        };
        let Some(group) = self.groups.get_mut(request) else {
            return;
        };
        if group
            .pending_part()
            .is_none_or(|part| part.reservation != reservation)
        {
            return;
        }
        if group.advance(now) {
            self.dispatch_to_group(now, request);
        } else {
            self.reserve_next(now, request);
        }
    }

    /// Dispatches the prompt to the engine of the group with the shortest predicted wait.
    fn dispatch_to_group(&mut self, now: MonoMs, request: RequestId) {
        if !self.may_route(now, request) {
            self.release_group(request);
            return;
        }
        let Some(group) = self.groups.get(request).cloned() else {
            return;
        };
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let policy = self.records.in_force().policy();
        let routing_request =
            RoutingRequest::new(&entry.submission.work, &entry.route, &entry.tried, policy);
        let choices = group
            .parts
            .iter()
            .filter_map(|part| Some((part, self.targets.get(&part.target)?)))
            .map(|(part, state)| {
                predict_choice(
                    now,
                    state,
                    &routing_request,
                    &part.target,
                    group.parts.len(),
                )
            });
        let leader = choices.min_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms));
        let Some(leader) = leader else {
            return;
        };
        let text = format!(
            "{} engines reserved; {} leads",
            group.parts.len(),
            leader.target
        );
        self.record_decision(now, Subsystem::Placement, Some(request), text);
        self.remove_from_queues(&group);
        self.dispatch(now, request, &leader);
    }

    /// Releases the whole group when one engine refuses or doesn't answer, so that no part stays reserved
    /// while the prompt waits for another engine.
    pub(super) fn on_not_reserved(
        &mut self,
        now: MonoMs,
        target: &TargetName,
        reservation: AttemptId,
        cause: &str,
    ) {
        let Some(request) = self.groups.of_reservation(reservation) else {
            return;
        };
        let Some(group) = self.groups.get(request) else {
            return;
        };
        let text = format!("{target} {cause}");
        match group.state {
            GroupState::Reserved { .. } => self.on_part_lost(now, request, &text),
            _ => self.retry_later(now, request, &text),
        }
    }

    /// Stops the attempt of a group whose renewal failed: the engine was replaced or the reservation
    /// expired, so the engine no longer has its part of the prompt.
    fn on_part_lost(&mut self, now: MonoMs, request: RequestId, text: &str) {
        let in_flight = self
            .requests
            .get(request)
            .and_then(|e| e.in_flight_attempt());
        let Some(attempt) = in_flight.map(|in_flight| in_flight.attempt) else {
            self.place_on_engines(now, request);
            return;
        };
        self.stop_attempt(attempt);
        self.try_again(now, request, Reason::TargetLost, text);
    }

    fn retry_later(&mut self, now: MonoMs, request: RequestId, text: &str) {
        let Some(mut group) = self.take_released_group(now, request) else {
            return;
        };
        group.failed_attempts += 1;
        let text = format!("reservation delayed: {text}");
        self.record_decision(now, Subsystem::Placement, Some(request), text);
        self.schedule_retry(now, request, group);
    }

    /// Carries out the retries, timeouts and renewals of groups that are due. Called at each tick.
    pub(super) fn process_due_groups(&mut self, now: MonoMs) {
        for due in self.groups.due(now) {
            match due {
                // No engines are chosen while the view is stale, but reservations are still renewed.
                DueGroup::Retry(_) if self.refresh.is_some() => {}
                DueGroup::Retry(request) => self.place_on_engines(now, request),
                DueGroup::Unanswered(request) => {
                    self.retry_later(now, request, "an engine didn't answer in time");
                }
                DueGroup::Renew(request) => self.renew(now, request),
            }
        }
    }

    fn renew(&mut self, now: MonoMs, request: RequestId) {
        let Some(group) = self.groups.get_mut(request) else {
            return;
        };
        group.mark_reserved(now);
        for part in group.parts.clone() {
            self.reserve(now, request, &part);
        }
    }

    /// Releases all memory that is or may be reserved for a request. Called at every end of a request.
    pub(super) fn release_group(&mut self, request: RequestId) {
        if let Some(group) = self.groups.remove(request) {
            self.release_parts(&group);
            self.remove_from_queues(&group);
        }
    }

    fn release_parts(&mut self, group: &Group) {
        for part in group.parts_to_release() {
            self.release(&part.target, part.reservation);
        }
    }

    fn release(&mut self, target: &TargetName, reservation: AttemptId) {
        let Some(address) = self.targets.get(target).map(|state| state.address) else {
            return;
        };
        self.emit(Action::Call {
            target: target.clone(),
            address,
            call: TargetCall::Release(ReleaseRequest { reservation }),
        });
    }
}
