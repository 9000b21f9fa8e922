use {
    super::{
        arrivals::draw_arrivals,
        daemon::{Daemon, daemon_index, hello_of, incarnation_of},
        engine::{AttemptUpdate, Engine, Job},
        fleet_records::{KEY_SHA256, MODEL, records, target_address, target_name},
        setup::{RequestTrace, Setup},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
        net::SocketAddr,
    },
    whinlatch_core::{
        Action, AttemptEvent, Dispatch, Event, MonoMs, PlatformEvent, Submission, TargetCall,
        TargetEvent, Work,
    },
    whinlatch_wire::{
        caller::Outcome,
        ids::{AccountName, AttemptId, Incarnation, ModelName, RequestId, Revision, TargetName},
        platform::{InstanceList, ListedState, ListedTarget},
        target::{CacheEvents, LoadReport},
    },
};

/// Interval between ticks of a daemon, in µs.
const TICK_INTERVAL_US: u64 = 50_000;
/// Interval between snapshots of an engine's load, in µs.
const SNAPSHOT_INTERVAL_US: u64 = 100_000;
/// Virtual time before the first request, in µs, for daemons to open links and read load reports.
const WARM_UP_US: u64 = 3_000_000;
const US_PER_S: u64 = 1_000_000;

/// An event of the simulation. The payload is the index of a request, engine or daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival(usize),
    StepEnd { engine: usize, step: u64 },
    Tick(usize),
    Snapshot(usize),
    Crash(usize),
    Restart(usize),
    Leave(usize),
}

/// Discrete-event simulation of daemons, engines and requests in virtual time.
struct Simulation<'a> {
    setup: &'a Setup<'a>,
    rng: fastrand::Rng,
    now_us: u64,
    /// Future events by time, in µs, then by the order in which they were scheduled.
    agenda: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    scheduled_count: u64,
    /// Events to deliver to daemons at the current time.
    inbox: VecDeque<(usize, Event)>,
    daemons: Vec<Daemon>,
    engines: Vec<Engine>,
    /// Recent load reports of each engine with their times, in µs, oldest first.
    snapshots: Vec<VecDeque<(u64, LoadReport)>>,
    /// The leading engine and the other members, with their reservations, of each running group.
    groups: BTreeMap<AttemptId, (usize, Vec<(usize, AttemptId)>)>,
    by_address: HashMap<SocketAddr, usize>,
    by_name: HashMap<TargetName, usize>,
    traces: Vec<RequestTrace>,
    by_request: HashMap<RequestId, usize>,
    by_attempt: HashMap<AttemptId, usize>,
    /// Requests without an outcome.
    open_requests: usize,
}

/// Runs a simulation until every request has an outcome. Returns one trace per request.
pub fn simulate(setup: &Setup<'_>) -> Vec<RequestTrace> {
    let mut simulation = Simulation::new(setup);
    simulation.start();
    while simulation.open_requests > 0 {
        let Some(Reverse((at_us, _, event))) = simulation.agenda.pop() else {
            break;
        };
        simulation.now_us = at_us;
        simulation.on_event(event);
        simulation.deliver();
    }
    simulation.traces
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup<'a>) -> Self {
        let mut rng = fastrand::Rng::with_seed(setup.seed);
        let arrivals = draw_arrivals(
            setup.mix,
            setup.load_mix,
            setup.targets,
            setup.load,
            setup.seed,
        );
        let engine = |target: usize, rng: &mut fastrand::Rng| {
            let slow_factor = if setup.faults.slow_targets.contains(&target) {
                setup.faults.slow_factor
            } else {
                1.0
            };
            Engine::new(Incarnation(rng.u128(..)), slow_factor)
        };
        Self {
            engines: (0..setup.targets).map(|t| engine(t, &mut rng)).collect(),
            daemons: (0..setup.daemons).map(|d| Daemon::new(setup, d)).collect(),
            snapshots: vec![VecDeque::new(); setup.targets],
            groups: BTreeMap::new(),
            by_address: (0..setup.targets).map(|t| (target_address(t), t)).collect(),
            by_name: (0..setup.targets).map(|t| (target_name(t), t)).collect(),
            open_requests: arrivals.len(),
            traces: arrivals.into_iter().map(RequestTrace::new).collect(),
            by_request: HashMap::new(),
            by_attempt: HashMap::new(),
            agenda: BinaryHeap::new(),
            scheduled_count: 0,
            inbox: VecDeque::new(),
            now_us: 0,
            rng,
            setup,
        }
    }

    fn start(&mut self) {
        for target in 0..self.setup.targets {
            self.schedule(0, SimEvent::Snapshot(target));
        }
        let page = records(self.setup.mix, self.setup.targets);
        for daemon in 0..self.setup.daemons {
            let platform = PlatformEvent::Records(page.clone());
            self.inbox.push_back((daemon, Event::Platform(platform)));
            for peer in (0..self.setup.daemons).filter(|peer| *peer != daemon) {
                let hello = hello_of(peer);
                self.inbox.push_back((daemon, Event::PeerUp { hello }));
            }
            let phase_us = self.rng.u64(0..TICK_INTERVAL_US);
            self.schedule(phase_us, SimEvent::Tick(daemon));
        }
        for index in 0..self.traces.len() {
            let at_us = WARM_UP_US + self.traces[index].arrival.at_us;
            self.traces[index].arrival.at_us = at_us;
            self.schedule(at_us, SimEvent::Arrival(index));
        }
        if let Some(every_s) = self.setup.faults.death_every_s {
            self.schedule(WARM_UP_US + every_s * US_PER_S, SimEvent::Crash(0));
        }
        for leaving in &self.setup.faults.leaving {
            self.schedule(leaving.at_s * US_PER_S, SimEvent::Leave(leaving.target));
        }
        self.deliver();
    }

    fn schedule(&mut self, at_us: u64, event: SimEvent) {
        self.scheduled_count += 1;
        self.agenda
            .push(Reverse((at_us, self.scheduled_count, event)));
    }

    fn on_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival(index) => self.on_arrival(index),
            SimEvent::StepEnd { engine, step } => self.on_step_end(engine, step),
            SimEvent::Tick(daemon) => {
                self.schedule(self.now_us + TICK_INTERVAL_US, SimEvent::Tick(daemon));
                self.inbox.push_back((daemon, Event::Tick));
            }
            SimEvent::Snapshot(engine) => self.take_snapshot(engine),
            SimEvent::Crash(engine) => self.on_crash(engine),
            SimEvent::Restart(engine) => {
                let incarnation = Incarnation(self.rng.u128(..));
                self.engines[engine].restart(incarnation);
            }
            SimEvent::Leave(engine) => self.engines[engine].leaving = true,
        }
    }

    /// Delivers queued events and applies the resulting actions until no event is left at this time.
    fn deliver(&mut self) {
        while let Some((daemon, event)) = self.inbox.pop_front() {
            let now = MonoMs(self.now_us / 1_000);
            for action in self.daemons[daemon].handle(now, event) {
                self.apply_action(daemon, action);
            }
        }
    }

    fn on_arrival(&mut self, index: usize) {
        let request = RequestId(self.rng.u128(..));
        self.by_request.insert(request, index);
        let arrival = &self.traces[index].arrival;
        let account = &self.setup.mix.accounts[arrival.account];
        let submission = Submission {
            request,
            account: AccountName::new(&account.name),
            caller: None,
            key_sha256: KEY_SHA256.to_owned(),
            deadline_ms: arrival.deadline_ms,
            ticket: None,
            idempotency_key: None,
            forwarded_by: None,
            fingerprint: index as u64,
            work: Work::Prompt {
                model: ModelName::new(MODEL),
                adapter: None,
                prompt_tokens: arrival.prompt_tokens,
                max_tokens: arrival.answer_tokens,
                prefix_hashes: arrival.prefix_hashes.clone(),
            },
        };
        let daemon = self.rng.usize(0..self.setup.daemons);
        self.inbox
            .push_back((daemon, Event::Submit(Box::new(submission))));
    }

    fn apply_action(&mut self, daemon: usize, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(daemon, &dispatch),
            Action::Finish(outcome) => self.finish(outcome),
            Action::Call { target, call, .. } => {
                let engine = self.by_name[&target];
                self.call(daemon, engine, target, call);
            }
            Action::Send { to, frame } => {
                let from = incarnation_of(daemon);
                let event = Event::PeerFrame { from, frame };
                self.inbox.push_back((daemon_index(to), event));
            }
            Action::ReadInstances => {
                let event = PlatformEvent::Instances(self.instance_list());
                self.inbox.push_back((daemon, Event::Platform(event)));
            }
            Action::ReadRecords { after, .. } if after == Revision::default() => {
                let page = records(self.setup.mix, self.setup.targets);
                let event = PlatformEvent::Records(page);
                self.inbox.push_back((daemon, Event::Platform(event)));
            }
            // Links are open from the start, records never change and no request uses a ticket.
            _ => {}
        }
    }

    fn instance_list(&self) -> InstanceList {
        let targets = self
            .engines
            .iter()
            .enumerate()
            .map(|(target, engine)| ListedTarget {
                target: target_name(target),
                incarnation: engine.incarnation,
                address: target_address(target),
                state: ListedState::Live,
            });
        InstanceList {
            version: 1,
            daemons: Vec::new(),
            targets: targets.collect(),
        }
    }

    fn dispatch(&mut self, daemon: usize, dispatch: &Dispatch) {
        let engine = self.by_name[&dispatch.target];
        let index = self.by_request[&dispatch.request];
        let trace = &mut self.traces[index];
        trace.first_target.get_or_insert(engine);
        trace.attempts += 1;
        let arrival = &trace.arrival;
        let total_tokens = arrival.prompt_tokens + u64::from(arrival.answer_tokens);
        let reserved = dispatch.reservation.is_some();
        let job = Job {
            attempt: dispatch.attempt,
            daemon,
            priority: dispatch.priority,
            prompt_tokens: arrival.prompt_tokens,
            answer_tokens_left: arrival.answer_tokens,
            memory_tokens: if reserved { 0 } else { total_tokens },
            engines: dispatch.group.len() + 1,
            reservation: dispatch.reservation,
            prefix_hashes: arrival.prefix_hashes.clone(),
            prefilled_tokens: 0,
        };
        self.by_attempt.insert(dispatch.attempt, index);
        if !self.engines[engine].alive {
            return self.push_attempt_event(daemon, dispatch.attempt, AttemptEvent::NotSent);
        }
        if let Err(refusal) = self.engines[engine].submit(job, dispatch.expect_incarnation) {
            return self.push_attempt_event(
                daemon,
                dispatch.attempt,
                AttemptEvent::Refused(refusal),
            );
        }
        if !dispatch.group.is_empty() {
            let members = dispatch.group.iter().map(|member| {
                let engine = self.by_address[&member.address];
                (engine, member.reservation)
            });
            let group = (engine, members.collect());
            self.groups.insert(dispatch.attempt, group);
        }
        self.start_step(engine);
    }

    fn push_attempt_event(&mut self, daemon: usize, attempt: AttemptId, event: AttemptEvent) {
        self.inbox
            .push_back((daemon, Event::Attempt { attempt, event }));
    }

    fn finish(&mut self, outcome: Outcome) {
        let trace = &mut self.traces[self.by_request[&outcome.request]];
        if trace.end.is_none() {
            trace.end = Some((self.now_us, outcome));
            self.open_requests -= 1;
        }
    }

    fn call(&mut self, daemon: usize, engine: usize, target: TargetName, call: TargetCall) {
        let now_us = self.now_us;
        let alive = self.engines[engine].alive;
        let event = match call {
            TargetCall::Report if alive => TargetEvent::Report(self.delayed_report(engine)),
            TargetCall::CacheEvents { after } if alive => {
                TargetEvent::Cache(self.cache_events(engine, after))
            }
            TargetCall::Report | TargetCall::CacheEvents { .. } => TargetEvent::Unreachable,
            TargetCall::Reserve { reserve, .. } => {
                let reservation = reserve.reservation;
                match alive.then(|| self.engines[engine].reserve(now_us, &reserve)) {
                    Some(true) => TargetEvent::Reserved(reservation),
                    Some(false) => TargetEvent::ReserveRefused(reservation),
                    None => TargetEvent::ReserveLost(reservation),
                }
            }
            TargetCall::Release(release) => {
                self.engines[engine].release(release.reservation);
                return self.start_step(engine);
            }
            TargetCall::Cancel(cancel) => {
                self.groups.remove(&cancel.attempt);
                self.engines[engine].cancel(cancel.attempt);
                return self.start_step(engine);
            }
            TargetCall::State | TargetCall::Order { .. } => return,
        };
        self.inbox
            .push_back((daemon, Event::Target { target, event }));
    }

    /// Returns the latest snapshot that is at least `report_lag_ms` old, else the oldest one, else the
    /// current load if there is no snapshot.
    fn delayed_report(&self, engine: usize) -> LoadReport {
        let as_of_us = self
            .now_us
            .saturating_sub(self.setup.faults.report_lag_ms * 1_000);
        let snapshots = &self.snapshots[engine];
        let end = snapshots.partition_point(|(at_us, _)| *at_us <= as_of_us);
        snapshots.get(end.saturating_sub(1)).map_or_else(
            || self.engines[engine].report(),
            |(_, report)| report.clone(),
        )
    }

    /// Returns the cache events after `after` that aren't lost. The same event is lost for each daemon.
    fn cache_events(&self, engine: usize, after: u64) -> CacheEvents {
        let loss_rate = self.setup.faults.lost_cache_events;
        let is_delivered = |sequence: u64| {
            let seed = self.setup.seed ^ sequence ^ (engine as u64) << 40;
            fastrand::Rng::with_seed(seed).f64() >= loss_rate
        };
        let events = self.engines[engine].cache.events_after(after);
        CacheEvents {
            incarnation: self.engines[engine].incarnation,
            events: events
                .iter()
                .filter(|e| is_delivered(e.sequence))
                .cloned()
                .collect(),
        }
    }

    /// Starts the engine's next step, if it has work, and schedules its end.
    fn start_step(&mut self, engine: usize) {
        let helped = self.groups.iter().filter(|(attempt, (leader, members))| {
            members.iter().any(|(member, _)| *member == engine)
                && self.engines[*leader].is_prefilling(**attempt)
        });
        self.engines[engine].helped_groups = helped.count() as u32;
        if let Some(length_us) = self.engines[engine].begin_step(self.now_us) {
            let step = self.engines[engine].step;
            self.schedule(self.now_us + length_us, SimEvent::StepEnd { engine, step });
        }
    }

    fn on_step_end(&mut self, engine: usize, step: u64) {
        if self.engines[engine].step != step || !self.engines[engine].alive {
            return;
        }
        for update in self.engines[engine].end_step() {
            match update.event {
                AttemptEvent::FirstChunk => {
                    let index = self.by_attempt[&update.attempt];
                    self.traces[index].first_token_us = Some(self.now_us);
                }
                _ => drop(self.groups.remove(&update.attempt)),
            }
            self.push_update(update);
        }
        self.start_step(engine);
    }

    fn push_update(&mut self, update: AttemptUpdate) {
        self.push_attempt_event(update.daemon, update.attempt, update.event);
    }

    fn take_snapshot(&mut self, engine: usize) {
        self.schedule(
            self.now_us + SNAPSHOT_INTERVAL_US,
            SimEvent::Snapshot(engine),
        );
        let report = self.engines[engine].report();
        let snapshots = &mut self.snapshots[engine];
        snapshots.push_back((self.now_us, report));
        let max_snapshots = self.setup.faults.report_lag_ms * 1_000 / SNAPSHOT_INTERVAL_US + 2;
        while snapshots.len() as u64 > max_snapshots {
            snapshots.pop_front();
        }
    }

    /// Crashes an engine. Its attempts fail, and so do the groups that had memory reserved on it.
    fn on_crash(&mut self, engine: usize) {
        let lost = self.engines[engine].crash();
        self.snapshots[engine].clear();
        for update in lost {
            self.groups.remove(&update.attempt);
            self.push_update(update);
        }
        let broken: Vec<(AttemptId, usize)> = self
            .groups
            .iter()
            .filter(|(_, (_, members))| members.iter().any(|(member, _)| *member == engine))
            .map(|(attempt, (leader, _))| (*attempt, *leader))
            .collect();
        for (attempt, leader) in broken {
            self.groups.remove(&attempt);
            let lost = self.engines[leader].abort(attempt);
            if let Some(update) = lost {
                self.push_update(update);
            }
            self.start_step(leader);
        }
        let faults = self.setup.faults;
        self.schedule(
            self.now_us + faults.restart_s * US_PER_S,
            SimEvent::Restart(engine),
        );
        if let Some(every_s) = faults.death_every_s {
            let next = (engine + 1) % self.setup.targets;
            self.schedule(self.now_us + every_s * US_PER_S, SimEvent::Crash(next));
        }
    }
}
