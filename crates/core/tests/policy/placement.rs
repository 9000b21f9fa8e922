//! Groups of engines for prompts larger than the memory of one engine.

use {
    crate::fleet_fixture::{
        MEMORY_TOKENS, calls, dispatches, engine, fleet_of, idle, number_of, outcomes, prompt,
        ready_core, report, run_of, submit,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    std::collections::{BTreeMap, VecDeque},
    whinlatch_core::{
        Action, AttemptEvent, Core, Dispatch, Event, MonoMs, TargetCall, TargetEvent,
    },
    whinlatch_wire::{
        caller::{OutcomeKind, Reason},
        ids::{AttemptId, TargetName},
        target::{LoadReport, ReserveRequest},
    },
};

const MILLION: u64 = 1_000_000;

fn reserves(actions: &[Action]) -> Vec<(TargetName, ReserveRequest)> {
    calls(actions)
        .into_iter()
        .filter_map(|(target, call)| match call {
            TargetCall::Reserve { reserve, .. } => Some((target, reserve)),
            _ => None,
        })
        .collect()
}

fn releases(actions: &[Action]) -> Vec<(TargetName, AttemptId)> {
    calls(actions)
        .into_iter()
        .filter_map(|(target, call)| match call {
            TargetCall::Release(release) => Some((target, release.reservation)),
            _ => None,
        })
        .collect()
}

fn answer(core: &mut Core, now: MonoMs, target: &TargetName, event: TargetEvent) -> Vec<Action> {
    let target = target.clone();
    core.handle(now, Event::Target { target, event })
}

/// Grants every reservation that the core requests, one by one. Returns them and the last actions.
fn grant_all(
    core: &mut Core,
    mut actions: Vec<Action>,
) -> (Vec<(TargetName, AttemptId)>, Vec<Action>) {
    let mut held = Vec::new();
    while let Some((target, request)) = reserves(&actions).pop() {
        held.push((target.clone(), request.reservation));
        actions = answer(
            core,
            MonoMs(10),
            &target,
            TargetEvent::Reserved(request.reservation),
        );
    }
    (held, actions)
}

#[test]
fn a_million_tokens_run_on_four_engines_in_name_order() {
    let mut core = ready_core(0, &fleet_of(5));

    let first = submit(&mut core, MonoMs(1), prompt(1, MILLION, 300_000));
    let (held, last) = grant_all(&mut core, first);

    let names: Vec<&TargetName> = held.iter().map(|(target, _)| target).collect();
    assert_eq!(names.len(), 4);
    assert!(names.is_sorted());
    let sent = dispatches(&last);
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].group.len(), 3);
    assert!(sent[0].reservation.is_some());
}

#[test]
fn a_prompt_that_no_group_can_hold_is_refused_immediately() {
    let mut core = ready_core(0, &fleet_of(3));

    let actions = submit(&mut core, MonoMs(1), prompt(1, MILLION, 300_000));

    let ended = outcomes(&actions);
    assert_eq!(ended[0].reason, Reason::PromptTooLong);
    assert_eq!(ended[0].outcome, OutcomeKind::NotRun);
}

#[test]
fn the_first_refusal_releases_the_whole_group() {
    // Guards against a deadlock in which long prompts never start although enough engines are free:
    // two daemons each keep reservations at half of the engines while they wait for the other half.
    let mut core = ready_core(0, &fleet_of(4));
    let first = submit(&mut core, MonoMs(1), prompt(1, MILLION, 300_000));
    let (one, reserve_one) = reserves(&first).remove(0);
    let second = answer(
        &mut core,
        MonoMs(2),
        &one,
        TargetEvent::Reserved(reserve_one.reservation),
    );
    let (two, reserve_two) = reserves(&second).remove(0);

    let refused = TargetEvent::ReserveRefused(reserve_two.reservation);
    let actions = answer(&mut core, MonoMs(3), &two, refused);

    let released = releases(&actions);
    assert!(released.contains(&(one, reserve_one.reservation)));
    let again = core.handle(MonoMs(1_000), Event::Tick);
    assert_eq!(reserves(&again).len(), 1, "the group is tried again");
}

#[test]
fn every_end_of_a_request_releases_its_group() {
    // Guards against long prompts that no longer start after some were cancelled: the caller
    // disconnects or the answer completes, and that end of the request doesn't release its memory.
    type End = fn(&mut Core, AttemptId) -> Vec<Action>;
    let ends: [End; 4] = [
        |core, attempt| attempt_event(core, attempt, AttemptEvent::Completed),
        |core, _| {
            core.handle(
                MonoMs(20),
                Event::CallerGone {
                    request: request_one(),
                },
            )
        },
        |core, _| core.handle(MonoMs(400_000), Event::Tick),
        |core, attempt| attempt_event(core, attempt, AttemptEvent::Broken { chunks: 0 }),
    ];
    for end in ends {
        let mut core = ready_core(0, &fleet_of(4));
        let first = submit(&mut core, MonoMs(1), prompt(1, MILLION, 300_000));
        let (held, last) = grant_all(&mut core, first);
        let attempt = dispatches(&last)[0].attempt;

        let released = releases(&end(&mut core, attempt));

        for part in held {
            assert!(released.contains(&part), "{part:?} is not released");
        }
    }
}

fn request_one() -> whinlatch_wire::ids::RequestId {
    whinlatch_wire::ids::RequestId(1)
}

fn attempt_event(core: &mut Core, attempt: AttemptId, event: AttemptEvent) -> Vec<Action> {
    core.handle(MonoMs(20), Event::Attempt { attempt, event })
}

#[test]
fn a_reservation_granted_after_the_end_of_its_request_is_released() {
    // Guards against an engine that loses memory with each cancelled prompt: the caller disconnects
    // while the engine answers, and reserve and release cross on two connections, so that the grant
    // arrives after the release.
    let mut core = ready_core(0, &fleet_of(4));
    let first = submit(&mut core, MonoMs(1), prompt(1, MILLION, 300_000));
    let (one, request) = reserves(&first).remove(0);
    core.handle(
        MonoMs(2),
        Event::CallerGone {
            request: request_one(),
        },
    );

    let actions = answer(
        &mut core,
        MonoMs(3),
        &one,
        TargetEvent::Reserved(request.reservation),
    );

    assert_eq!(releases(&actions), vec![(one, request.reservation)]);
}

#[test]
fn reservations_are_renewed_while_the_prompt_runs() {
    let mut core = ready_core(0, &fleet_of(4));
    let first = submit(&mut core, MonoMs(1), prompt(1, MILLION, 300_000));
    let (held, _) = grant_all(&mut core, first);

    let actions = core.handle(MonoMs(6_000), Event::Tick);

    let renewed: Vec<(TargetName, AttemptId)> = reserves(&actions)
        .into_iter()
        .map(|(target, request)| (target, request.reservation))
        .collect();
    assert_eq!(renewed, held);
}

/// Fake engines that only count memory, and several cores whose messages arrive in any order.
struct FakeFleet {
    cores: Vec<Core>,
    reserved: BTreeMap<(usize, AttemptId), u64>,
    inbox: VecDeque<(usize, Event)>,
    calls: VecDeque<(usize, TargetName, TargetCall)>,
    running: VecDeque<(usize, AttemptId)>,
    completed: usize,
    engines: usize,
    now: MonoMs,
}

impl FakeFleet {
    fn new(daemons: usize, engines: usize) -> Self {
        let spec = fleet_of(engines);
        Self {
            cores: (0..daemons)
                .map(|number| ready_core(number, &spec))
                .collect(),
            reserved: BTreeMap::new(),
            inbox: VecDeque::new(),
            calls: VecDeque::new(),
            running: VecDeque::new(),
            completed: 0,
            engines,
            now: MonoMs(1),
        }
    }

    fn handle(&mut self, core: usize, event: Event) {
        let actions = self.cores[core].handle(self.now, event);
        for (target, call) in calls(&actions) {
            self.calls.push_back((core, target, call));
        }
        for dispatch in dispatches(&actions) {
            self.assert_all_reserved(dispatch);
            self.running.push_back((core, dispatch.attempt));
        }
        for outcome in outcomes(&actions) {
            self.completed += usize::from(outcome.outcome == OutcomeKind::Completed);
        }
    }

    /// Asserts that all reservations of a dispatch are held at the engines when it is sent.
    fn assert_all_reserved(&self, dispatch: &Dispatch) {
        let members = dispatch.group.iter().map(|member| Some(member.reservation));
        for reservation in members.chain([dispatch.reservation]) {
            let held = self
                .reserved
                .keys()
                .any(|(_, held)| Some(*held) == reservation);
            assert!(held, "dispatched without all of its parts");
        }
    }

    /// Performs one of the possible steps, selected by `pick`: delivers an event or a call, completes an
    /// attempt, or advances the clock.
    fn step(&mut self, pick: usize) {
        let choices = self.inbox.len() + self.calls.len() + self.running.len() + 1;
        let mut pick = pick % choices;
        if pick < self.inbox.len() {
            let (core, event) = self.inbox.remove(pick).expect("in range");
            return self.handle(core, event);
        }
        pick -= self.inbox.len();
        if pick < self.calls.len() {
            let (core, target, call) = self.calls.remove(pick).expect("in range");
            return self.engine_call(core, target, &call);
        }
        pick -= self.calls.len();
        if pick < self.running.len() {
            let (core, attempt) = self.running.remove(pick).expect("in range");
            let event = AttemptEvent::Completed;
            return self.handle(core, Event::Attempt { attempt, event });
        }
        self.now = self.now + 50;
        for core in 0..self.cores.len() {
            for number in 0..self.engines {
                let event = TargetEvent::Report(self.report(number));
                let target = engine(number);
                self.handle(core, Event::Target { target, event });
            }
            self.handle(core, Event::Tick);
        }
    }

    fn report(&self, number: usize) -> LoadReport {
        let held = self
            .reserved
            .iter()
            .filter(|((engine, _), _)| *engine == number);
        LoadReport {
            memory_used_tokens: held.map(|(_, tokens)| tokens).sum(),
            ..idle(number)
        }
    }

    fn engine_call(&mut self, core: usize, target: TargetName, call: &TargetCall) {
        let number = number_of(&target);
        match call {
            TargetCall::Reserve { reserve, .. } => {
                assert_eq!(reserve.expect_incarnation, run_of(number));
                let event = self.reserve(number, reserve);
                self.inbox
                    .push_back((core, Event::Target { target, event }));
            }
            TargetCall::Release(release) => {
                self.reserved.remove(&(number, release.reservation));
            }
            _ => {}
        }
    }

    fn reserve(&mut self, number: usize, request: &ReserveRequest) -> TargetEvent {
        let key = (number, request.reservation);
        let others = self
            .reserved
            .iter()
            .filter(|(held, _)| held.0 == number && **held != key);
        let used: u64 = others.map(|(_, tokens)| tokens).sum();
        if used + request.tokens > MEMORY_TOKENS {
            return TargetEvent::ReserveRefused(request.reservation);
        }
        self.reserved.insert(key, request.tokens);
        TargetEvent::Reserved(request.reservation)
    }
}

/// Runs the same cases every time, so that the result is reproducible.
fn fixed_cases() -> ProptestConfig {
    ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// Three daemons place groups on the same five engines while messages arrive in any order. Guards
    /// against partial groups that wait for each other, so that no prompt ever starts, and against
    /// reservations that are never released, so that the engines stay full after all prompts have ended.
    #[test]
    fn groups_placed_at_the_same_time_by_several_daemons_all_complete(picks in prop::collection::vec(any::<usize>(), 400)) {
        let mut fleet = FakeFleet::new(3, 5);
        for request in 0..6 {
            let submission = prompt(1 + request, MILLION, 600_000);
            fleet.handle(request as usize % 3, Event::Submit(Box::new(submission)));
        }

        for pick in picks {
            fleet.step(pick);
        }
        let mut steps = 0;
        while fleet.completed < 6 && steps < 5_000 {
            fleet.step(0);
            steps += 1;
        }
        while !(fleet.inbox.is_empty() && fleet.calls.is_empty()) {
            fleet.step(0);
        }

        prop_assert_eq!(fleet.completed, 6);
        prop_assert!(fleet.reserved.is_empty(), "still reserved: {:?}", fleet.reserved);
    }
}

#[test]
fn a_leaving_engine_joins_no_group() {
    let mut core = ready_core(0, &fleet_of(5));
    let mut leaving = idle(0);
    leaving.leaving = true;
    report(&mut core, MonoMs(1), 0, leaving);

    let first = submit(&mut core, MonoMs(2), prompt(1, MILLION, 300_000));
    let (held, _) = grant_all(&mut core, first);

    assert!(held.iter().all(|(target, _)| *target != engine(0)));
}
