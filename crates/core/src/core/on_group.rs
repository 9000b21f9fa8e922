//! Groups of engines: acquired all or none, renewed while they are used, always given back.

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

/// How much earlier a prompt is ranked for each ms that it takes to read, where only the first token
/// of long prompts counts.
const LONGEST_FIRST: f64 = 0.0;
/// Longest time before a group is tried again, in ms, doubled with each try up to the cap.
const BACK_OFF_MS: u64 = 50;
/// Cap of that time, in ms.
const MAX_BACK_OFF_MS: u64 = 400;
/// When a caller is told to come back if too few engines are live, in ms.
const NONE_LIVE_RETRY_MS: u64 = 5_000;

impl Core {
    /// Chooses engines for a long prompt. Asks for them if their turn has come, else claims them.
    pub(super) fn place(&mut self, now: MonoMs, request: RequestId) {
        let avoided = self.to_avoid(now, request);
        let alone = self.runs_alone(now, request);
        let Some(mut group) = self.take_group(now, request) else {
            return;
        };
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let policy = self.records.in_force().policy();
        let ask = RoutingRequest::new(&entry.submission.work, &entry.route, &avoided, policy)
            .alone(alone);
        let scene = RoutingContext {
            now,
            in_force: self.records.in_force(),
            targets: &self.targets,
            daemons: self.members.alive().count() + 1,
        };
        let waiter = WaitingPrompt {
            since: self.rank_of(entry),
            claim: group.claim,
        };
        let chosen = self
            .router
            .choose_group(&scene, &ask, waiter, group.provider, &mut self.rng);
        match chosen {
            Ok(chosen) => {
                self.claim(now, request, &mut group, waiter, &chosen);
                if chosen.starts_now {
                    self.acquire(now, request, group, chosen);
                } else {
                    self.wait(now, request, group);
                }
            }
            Err(GroupError::NoneLive) => {
                let message = GroupError::NoneLive.to_string();
                let retry = Some(NONE_LIVE_RETRY_MS);
                let kind = self.kind_now(request);
                self.unclaim(&group);
                self.finish(now, request, kind, Reason::NoTarget, &message, retry);
            }
            Err(GroupError::TooLong) => {
                self.unclaim(&group);
                let message = GroupError::TooLong.to_string();
                self.give_up(now, request, Reason::PromptTooLong, &message);
            }
        }
    }

    /// The moment that a long prompt's place in the order of waiters goes by. The longer it takes to
    /// read, the earlier that moment, since its place among the others costs them least.
    fn rank_of(&self, entry: &Request) -> MonoMs {
        let policy = self.records.in_force().policy();
        let ask = RoutingRequest::new(&entry.submission.work, &entry.route, &entry.tried, policy);
        let read_ms = ask.prompt_tokens() as f64 * 0.05;
        let ahead_ms = read_ms * LONGEST_FIRST * policy.long_first_token_weight;
        MonoMs(entry.accepted.0.saturating_sub(ahead_ms as u64))
    }

    /// The request's group with nothing held, or a new one with the provider drawn.
    fn take_group(&mut self, now: MonoMs, request: RequestId) -> Option<Group> {
        if let Some(group) = self.groups.remove(request) {
            self.release_parts(&group);
            return Some(Group {
                parts: Vec::new(),
                state: GroupState::Waiting { retry_at: now },
                ..group
            });
        }
        let claim = self.draw_attempt();
        let entry = self.requests.get(request)?;
        let policy = self.records.in_force().policy();
        let ask = RoutingRequest::new(&entry.submission.work, &entry.route, &entry.tried, policy);
        let provider = self.router.draw_provider(&ask, &mut self.rng);
        Some(Group::new(now, claim, provider))
    }

    /// Claims the engines that were chosen and no others.
    fn claim(
        &mut self,
        now: MonoMs,
        request: RequestId,
        group: &mut Group,
        waiter: WaitingPrompt,
        chosen: &ChosenGroup,
    ) {
        if group.claimed != chosen.targets {
            let names: Vec<&str> = chosen.targets.iter().map(TargetName::as_str).collect();
            let names = names.join(", ");
            let text = format!("claims {names}, free in {:.0} ms", chosen.wait_ms);
            self.decide(now, Subsystem::Placement, Some(request), text);
            self.unclaim(group);
            self.untold.extend(chosen.targets.iter().cloned());
            group.claimed.clone_from(&chosen.targets);
        }
        let claim = QueuedPrompt {
            id: waiter.claim,
            since: waiter.since,
            read_ms: chosen.read_ms,
        };
        for target in &group.claimed {
            if let Some(state) = self.targets.get_mut(target) {
                state.load.enqueue(claim);
            }
        }
    }

    fn unclaim(&mut self, group: &Group) {
        for target in &group.claimed {
            let state = self.targets.get_mut(target);
            if state.is_some_and(|state| state.load.dequeue(group.claim)) {
                self.untold.push(target.clone());
            }
        }
    }

    /// Tries again soon, with jitter so that daemons that collided don't do so again.
    fn wait(&mut self, now: MonoMs, request: RequestId, mut group: Group) {
        let full_ms = (BACK_OFF_MS << group.tries.min(8)).min(MAX_BACK_OFF_MS);
        let retry_at = now + self.rng.u64(full_ms / 2..=full_ms);
        group.state = GroupState::Waiting { retry_at };
        self.groups.insert(request, group);
    }

    fn part(&mut self, target: TargetName) -> Option<Part> {
        let reservation = self.draw_attempt();
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
            "asks {} for {} tokens each, try {}",
            names.join(", "),
            chosen.part_tokens,
            group.tries + 1
        );
        self.decide(now, Subsystem::Placement, Some(request), text);
        group.part_tokens = chosen.part_tokens;
        group.parts = chosen
            .targets
            .into_iter()
            .filter_map(|target| self.part(target))
            .collect();
        group.state = GroupState::Acquiring {
            next: 0,
            requested_at: now,
        };
        self.groups.insert(request, group);
        self.ask_next(now, request);
    }

    fn ask_next(&mut self, now: MonoMs, request: RequestId) {
        let Some(group) = self.groups.get(request) else {
            return;
        };
        let Some(part) = group.pending_part().cloned() else {
            return;
        };
        self.reserve(now, request, &part);
    }

    /// Asks for a part or renews it. It isn't sent late, so that a daemon that was paused doesn't
    /// take memory for a request that has ended meanwhile.
    fn reserve(&mut self, now: MonoMs, request: RequestId, part: &Part) {
        let Some(group) = self.groups.get(request) else {
            return;
        };
        let reserve = group.reserve_request(part, self.options.incarnation);
        self.act(Action::Call {
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
            // The request ended, or the group was given up, while the engine answered.
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
            self.run_group(now, request);
        } else {
            self.ask_next(now, request);
        }
    }

    /// Dispatches to the engine of the group that has the least to do.
    fn run_group(&mut self, now: MonoMs, request: RequestId) {
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
        let ask = RoutingRequest::new(&entry.submission.work, &entry.route, &entry.tried, policy);
        let choices = group
            .parts
            .iter()
            .filter_map(|part| Some((part, self.targets.get(&part.target)?)))
            .map(|(part, state)| predict_choice(now, state, &ask, &part.target, group.parts.len()));
        let leader = choices.min_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms));
        let Some(leader) = leader else {
            return;
        };
        let text = format!(
            "{} engines are held; {} runs it",
            group.parts.len(),
            leader.target
        );
        self.decide(now, Subsystem::Placement, Some(request), text);
        self.unclaim(&group);
        self.dispatch(now, request, &leader);
    }

    /// Gives the whole group back on the first refusal, so that no part waits for another.
    pub(super) fn on_not_reserved(
        &mut self,
        now: MonoMs,
        target: &TargetName,
        reservation: AttemptId,
        says: &str,
    ) {
        let Some(request) = self.groups.of_reservation(reservation) else {
            return;
        };
        let Some(group) = self.groups.get(request) else {
            return;
        };
        let text = format!("{target} {says}");
        match group.state {
            GroupState::Held { .. } => self.on_part_lost(now, request, &text),
            _ => self.put_off(now, request, &text),
        }
    }

    /// A renewal failed: the engine was replaced or the hold ended, so the prompt can't be whole.
    fn on_part_lost(&mut self, now: MonoMs, request: RequestId, text: &str) {
        let flight = self
            .requests
            .get(request)
            .and_then(|e| e.in_flight_attempt());
        let Some(attempt) = flight.map(|flight| flight.attempt) else {
            self.place(now, request);
            return;
        };
        self.stop_attempt(attempt);
        self.try_again(now, request, Reason::TargetLost, text);
    }

    fn put_off(&mut self, now: MonoMs, request: RequestId, text: &str) {
        let Some(mut group) = self.take_group(now, request) else {
            return;
        };
        group.tries += 1;
        let text = format!("put off: {text}");
        self.decide(now, Subsystem::Placement, Some(request), text);
        self.wait(now, request, group);
    }

    /// Does what is due for groups. Called at each tick.
    pub(super) fn tend_groups(&mut self, now: MonoMs) {
        for due in self.groups.due(now) {
            match due {
                // A stale view chooses no engines; what is held is renewed all the same.
                DueGroup::Try(_) if self.refresh.is_some() => {}
                DueGroup::Try(request) => self.place(now, request),
                DueGroup::Unanswered(request) => {
                    self.put_off(now, request, "an engine didn't answer in time");
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

    /// Gives back what is or may be held for a request. Every end of a request comes through here.
    pub(super) fn release_group(&mut self, request: RequestId) {
        if let Some(group) = self.groups.remove(request) {
            self.release_parts(&group);
            self.unclaim(&group);
        }
    }

    fn release_parts(&mut self, group: &Group) {
        for part in group.held() {
            self.release(&part.target, part.reservation);
        }
    }

    fn release(&mut self, target: &TargetName, reservation: AttemptId) {
        let Some(address) = self.targets.get(target).map(|state| state.address) else {
            return;
        };
        self.act(Action::Call {
            target: target.clone(),
            address,
            call: TargetCall::Release(ReleaseRequest { reservation }),
        });
    }
}
