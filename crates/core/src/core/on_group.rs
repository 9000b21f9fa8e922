//! Groups of engines: acquired all or none, renewed while they are used, always given back.

use {
    super::Core,
    crate::{
        action::{Action, TargetCall},
        decisions::Part as DecisionPart,
        placement::{DueGroup, Group, GroupState, NoGroup, Part, RESERVE_WITHIN_MS},
        routing::{Ask, Scene, choice},
        time::MonoMs,
    },
    whinlatch_wire::{
        caller::Reason,
        ids::{AttemptId, RequestId, TargetName},
        target::ReleaseRequest,
    },
};

impl Core {
    /// Chooses a group for a prompt beyond one engine's memory and asks its first engine.
    pub(super) fn place(&mut self, now: MonoMs, request: RequestId) {
        let tries = self.groups.get(request).map_or(0, |group| group.tries);
        self.release_group(request);
        let avoided = self.to_avoid(now, request);
        let alone = self.runs_alone(now, request);
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let policy = self.records.in_force().policy();
        let ask = Ask::new(&entry.submission.work, &entry.route, &avoided, policy).alone(alone);
        let scene = Scene {
            now,
            in_force: self.records.in_force(),
            targets: &self.targets,
            daemons: self.members.alive().count() + 1,
        };
        match self.router.choose_group(&scene, &ask, &mut self.rng) {
            Ok(chosen) => {
                let group = Group {
                    parts: chosen
                        .targets
                        .into_iter()
                        .filter_map(|target| self.part(target))
                        .collect(),
                    part_tokens: chosen.part_tokens,
                    state: GroupState::Acquiring {
                        next: 0,
                        asked: now,
                    },
                    tries,
                };
                self.acquire(now, request, group);
            }
            Err(NoGroup::NoRoom) => {
                self.put_off(now, request, tries, &NoGroup::NoRoom.to_string());
            }
            Err(NoGroup::TooLong) => {
                let message = NoGroup::TooLong.to_string();
                self.give_up(now, request, Reason::PromptTooLong, &message);
            }
        }
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

    fn acquire(&mut self, now: MonoMs, request: RequestId, group: Group) {
        let names: Vec<&str> = group.parts.iter().map(|p| p.target.as_str()).collect();
        let text = format!(
            "asks {} for {} tokens each, try {}",
            names.join(", "),
            group.part_tokens,
            group.tries + 1
        );
        self.groups.begin(request, group);
        self.decide(now, DecisionPart::Placement, Some(request), text);
        self.ask_next(now, request);
    }

    fn ask_next(&mut self, now: MonoMs, request: RequestId) {
        let Some(group) = self.groups.get(request) else {
            return;
        };
        let Some(part) = group.asked().cloned() else {
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
        let reserve = group.ask(part, self.options.incarnation);
        self.act(Action::Call {
            target: part.target.clone(),
            address: part.address,
            call: TargetCall::Reserve {
                reserve,
                send_before: now + RESERVE_WITHIN_MS,
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
            .asked()
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
        let Some(group) = self.groups.get(request) else {
            return;
        };
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let policy = self.records.in_force().policy();
        let ask = Ask::new(&entry.submission.work, &entry.route, &entry.tried, policy);
        let choices = group
            .parts
            .iter()
            .filter_map(|part| Some((part, self.targets.get(&part.target)?)))
            .map(|(part, state)| choice(now, state, &ask, &part.target, group.parts.len()));
        let leader = choices.min_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms));
        let Some(leader) = leader else {
            return;
        };
        let text = format!(
            "{} engines are held; {} runs it",
            group.parts.len(),
            leader.target
        );
        self.decide(now, DecisionPart::Placement, Some(request), text);
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
        let tries = group.tries;
        let text = format!("{target} {says}");
        match group.state {
            GroupState::Held { .. } => self.on_part_lost(now, request, &text),
            _ => self.put_off(now, request, tries, &text),
        }
    }

    /// A renewal failed: the engine was replaced or the hold ended, so the prompt can't be whole.
    fn on_part_lost(&mut self, now: MonoMs, request: RequestId, text: &str) {
        let flight = self.requests.get(request).and_then(|e| e.flight());
        let Some(attempt) = flight.map(|flight| flight.attempt) else {
            self.place(now, request);
            return;
        };
        self.stop_attempt(attempt);
        self.try_again(now, request, Reason::TargetLost, text);
    }

    fn put_off(&mut self, now: MonoMs, request: RequestId, tries: u32, text: &str) {
        self.release_group(request);
        self.groups.back_off(now, request, tries, &mut self.rng);
        let text = format!("put off: {text}");
        self.decide(now, DecisionPart::Placement, Some(request), text);
    }

    /// Does what is due for groups. Called at each tick.
    pub(super) fn tend_groups(&mut self, now: MonoMs) {
        for due in self.groups.due(now) {
            match due {
                // A stale view chooses no engines; what is held is renewed all the same.
                DueGroup::Try(_) if self.refresh.is_some() => {}
                DueGroup::Try(request) => self.place(now, request),
                DueGroup::Unanswered(request) => {
                    let tries = self.groups.get(request).map_or(0, |group| group.tries);
                    self.put_off(now, request, tries, "an engine didn't answer in time");
                }
                DueGroup::Renew(request) => self.renew(now, request),
            }
        }
    }

    fn renew(&mut self, now: MonoMs, request: RequestId) {
        let Some(group) = self.groups.get_mut(request) else {
            return;
        };
        group.renewed(now);
        for part in group.parts.clone() {
            self.reserve(now, request, &part);
        }
    }

    /// Gives back what is or may be held for a request. Every end of a request comes through here.
    pub(super) fn release_group(&mut self, request: RequestId) {
        let Some(group) = self.groups.remove(request) else {
            return;
        };
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
