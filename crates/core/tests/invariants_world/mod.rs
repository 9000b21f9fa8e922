//! Simulation of three daemons, six targets and their callers. The test controls each message between them.

mod callers;
mod faults;
mod step;
mod target;

pub use {
    step::{Step, Steps},
    target::Answer,
};

use {
    crate::requests_fixture::{self, ENGINES, SERVICES, envelope, hello, options, run_of},
    std::collections::{BTreeMap, BTreeSet},
    target::Target,
    whinlatch_core::{
        Action, AttemptEvent, Core, Dispatch, Event, ForwardEnd, MonoMs, PlatformEvent, Submission,
        TargetCall, TargetEvent,
    },
    whinlatch_wire::{
        ids::{AttemptId, Incarnation, RequestId, Revision, TargetName, Ticket},
        platform::RecordPage,
    },
};

/// Number of daemons.
pub const DAEMONS: usize = 3;
/// Number of calls that must not run twice; each may be submitted several times.
pub const JOBS: usize = 4;
/// Upper bound of callers' deadlines before 200 ms are added, in ms.
const DEADLINE_MS: u64 = 4_000;
/// Time after the last deadline by which targets must have freed all memory, in ms.
const FREE_TIMEOUT_MS: u64 = 30_000;
/// Time between two ticks, in ms.
pub const TICK_MS: u64 = 50;

/// A message in transit between two processes. The first incarnation is the daemon that sent the message or, for
/// a reply, that receives it.
#[derive(Debug, Clone)]
enum Message {
    Dispatch(Incarnation, Box<Dispatch>),
    Cancel(TargetName, AttemptId),
    Reply(Incarnation, AttemptId, AttemptEvent),
    Forward(Incarnation, RequestId, Incarnation),
}

#[derive(Debug)]
struct Daemon {
    core: Core,
    incarnation: Incarnation,
    paused: bool,
    /// Actions that the core decided on and that weren't carried out before the process was paused.
    pending_actions: Vec<Action>,
    /// Events that arrived while the process was paused.
    inbox: Vec<Event>,
}

/// A request as seen by its caller, or by the daemon that forwarded it.
#[derive(Debug)]
struct SubmittedRequest {
    submission: Submission,
    daemon: Incarnation,
    deadline: u64,
    job: Option<usize>,
    forwarded_from: Option<(Incarnation, RequestId)>,
    ended: bool,
    /// The caller has the outcome of the ticket's home, so the process drops any other outcome.
    outcome_returned: bool,
}

#[derive(Debug)]
pub struct World {
    now: u64,
    daemons: Vec<Daemon>,
    targets: BTreeMap<TargetName, Target>,
    in_transit: Vec<Message>,
    tickets: [Option<Ticket>; JOBS],
    /// Number of times that each job ran; must not exceed 1.
    runs: [u32; JOBS],
    requests: BTreeMap<RequestId, SubmittedRequest>,
    /// Requests of which a target ran an attempt.
    ran: BTreeSet<RequestId>,
    /// Requests that a target answered completely.
    completed: BTreeSet<RequestId>,
    attempts: BTreeMap<AttemptId, RequestId>,
    /// Requests whose callers received `not_run`.
    reported_not_run: BTreeSet<RequestId>,
    /// Last number used as an incarnation or request id.
    last_id: u128,
}

impl World {
    pub fn new() -> Self {
        let names = ENGINES.iter().chain(&SERVICES);
        let targets = names.map(|name| ((*name).into(), Target::new(run_of(name))));
        let mut world = Self {
            now: 1_000,
            daemons: Vec::new(),
            targets: targets.collect(),
            in_transit: Vec::new(),
            tickets: [None; JOBS],
            runs: [0; JOBS],
            requests: BTreeMap::new(),
            ran: BTreeSet::new(),
            completed: BTreeSet::new(),
            attempts: BTreeMap::new(),
            reported_not_run: BTreeSet::new(),
            last_id: 0xA0,
        };
        for _ in 0..DAEMONS {
            let daemon = world.new_daemon();
            world.daemons.push(daemon);
        }
        for index in 0..DAEMONS {
            world.start(index);
        }
        world
    }

    fn new_daemon(&mut self) -> Daemon {
        self.last_id += 1;
        let incarnation = Incarnation(self.last_id);
        Daemon {
            core: Core::new(MonoMs(self.now), options(incarnation)),
            incarnation,
            paused: false,
            pending_actions: Vec::new(),
            inbox: Vec::new(),
        }
    }

    fn start(&mut self, index: usize) {
        let records = requests_fixture::records();
        let records = records.iter().enumerate();
        let records = records.map(|(at, (key, value))| envelope(key, 1 + at as u64, Some(value)));
        let page = RecordPage {
            revision: Revision(100),
            records: records.collect(),
            more: false,
        };
        self.handle_event(index, Event::Platform(PlatformEvent::Records(page)));
        let own = self.daemons[index].incarnation;
        for other in (0..DAEMONS).filter(|other| *other != index) {
            let theirs = self.daemons[other].incarnation;
            self.handle_event(
                index,
                Event::PeerUp {
                    hello: hello(theirs),
                },
            );
            self.handle_event(other, Event::PeerUp { hello: hello(own) });
        }
        self.handle_event(index, Event::Tick);
    }

    /// Passes an event to a daemon: immediately, or when it resumes if it is paused.
    fn handle_event(&mut self, index: usize, event: Event) {
        let daemon = &mut self.daemons[index];
        if daemon.paused {
            daemon.inbox.push(event);
            return;
        }
        let actions = daemon.core.handle(MonoMs(self.now), event);
        self.execute(index, actions);
    }

    fn send_event_to(&mut self, incarnation: Incarnation, event: Event) {
        let mut daemons = self.daemons.iter();
        if let Some(index) = daemons.position(|d| d.incarnation == incarnation) {
            self.handle_event(index, event);
        }
    }

    fn execute(&mut self, index: usize, actions: Vec<Action>) {
        let own = self.daemons[index].incarnation;
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => self.send_dispatch(index, dispatch),
                Action::Finish(outcome) | Action::Replay { outcome, .. } => {
                    self.on_outcome(&outcome);
                }
                Action::Forward { request, home, .. } => {
                    self.in_transit.push(Message::Forward(own, request, home));
                }
                Action::Call { target, call, .. } => self.call(index, &target, call),
                Action::Send { to, frame } => {
                    self.send_event_to(to, Event::PeerFrame { from: own, frame });
                }
                _ => {}
            }
        }
    }

    /// Sends a dispatch unless its `send_before` has passed, as the process around the core does.
    fn send_dispatch(&mut self, index: usize, dispatch: Box<Dispatch>) {
        let attempt = dispatch.attempt;
        self.attempts.insert(attempt, dispatch.request);
        if self.now > dispatch.send_before.0 {
            let event = AttemptEvent::Stale;
            self.handle_event(index, Event::Attempt { attempt, event });
            return;
        }
        let own = self.daemons[index].incarnation;
        self.in_transit.push(Message::Dispatch(own, dispatch));
    }

    fn call(&mut self, index: usize, target: &TargetName, call: TargetCall) {
        match call {
            TargetCall::Report => {
                let report = self.targets[target].report(self.now);
                let (target, event) = (target.clone(), TargetEvent::Report(report));
                self.handle_event(index, Event::Target { target, event });
            }
            TargetCall::Cancel(cancel) => {
                self.in_transit
                    .push(Message::Cancel(target.clone(), cancel.attempt));
            }
            _ => {}
        }
    }

    /// Delivers one message; `answer` is how a target responds if it is an attempt.
    pub fn deliver(&mut self, which: usize, answer: Answer) {
        if self.in_transit.is_empty() {
            return;
        }
        let message = self.in_transit.swap_remove(which % self.in_transit.len());
        self.receive(message, answer);
    }

    pub fn duplicate(&mut self, which: usize) {
        if !self.in_transit.is_empty() {
            let message = self.in_transit[which % self.in_transit.len()].clone();
            self.in_transit.push(message);
        }
    }

    /// Loses one message. If `seen`, its sender notices that the connection broke.
    pub fn lose(&mut self, which: usize, seen: bool) {
        if self.in_transit.is_empty() {
            return;
        }
        match self.in_transit.swap_remove(which % self.in_transit.len()) {
            Message::Dispatch(owner, dispatch) if seen => {
                self.reply(owner, dispatch.attempt, AttemptEvent::Broken { chunks: 0 });
            }
            Message::Forward(forwarder, request, _) if seen => {
                let end = ForwardEnd::Lost;
                self.send_event_to(forwarder, Event::ForwardEnded { request, end });
            }
            _ => {}
        }
    }

    /// Delivers a refusal on the connection of another attempt.
    pub fn misroute_refusal(&mut self, which: usize) {
        let refusal = self
            .in_transit
            .iter()
            .position(|m| matches!(m, Message::Reply(_, _, AttemptEvent::Refused(_))));
        let others: Vec<AttemptId> = self.attempts.keys().copied().collect();
        if let Some(at) = refusal
            && let Message::Reply(owner, _, event) = self.in_transit.swap_remove(at)
        {
            let attempt = others[which % others.len()];
            self.send_event_to(owner, Event::Attempt { attempt, event });
        }
    }

    fn reply(&mut self, owner: Incarnation, attempt: AttemptId, event: AttemptEvent) {
        self.in_transit.push(Message::Reply(owner, attempt, event));
    }

    fn receive(&mut self, message: Message, answer: Answer) {
        match message {
            Message::Dispatch(owner, dispatch) => self.run_attempt(owner, &dispatch, answer),
            Message::Cancel(target, attempt) => {
                if let Some(target) = self.targets.get_mut(&target) {
                    target.cancel(attempt);
                }
            }
            Message::Reply(owner, attempt, event) => {
                self.send_event_to(owner, Event::Attempt { attempt, event });
            }
            Message::Forward(forwarder, request, home) => {
                self.receive_forward(forwarder, request, home);
            }
        }
    }

    fn receive_forward(&mut self, forwarder: Incarnation, original: RequestId, home: Incarnation) {
        let mut daemons = self.daemons.iter();
        let index = daemons.position(|d| d.incarnation == home && !d.paused);
        let (Some(index), Some(entry)) = (index, self.requests.get(&original)) else {
            let end = ForwardEnd::Lost;
            self.send_event_to(
                forwarder,
                Event::ForwardEnded {
                    request: original,
                    end,
                },
            );
            return;
        };
        self.last_id += 1;
        let submission = Submission {
            request: RequestId(self.last_id),
            forwarded_by: Some(forwarder),
            ..entry.submission.clone()
        };
        let job = entry.job;
        self.submit(index, submission, job, Some((forwarder, original)));
    }

    fn run_attempt(&mut self, owner: Incarnation, dispatch: &Dispatch, answer: Answer) {
        let target = self.targets.get_mut(&dispatch.target).expect("a target");
        let Some((event, ran)) = target.receive(owner, dispatch, answer) else {
            return;
        };
        let request = dispatch.request;
        if ran {
            self.ran.insert(request);
            let job = self.requests[&request].job;
            if let Some(job) = job {
                self.runs[job] += 1;
                assert_eq!(self.runs[job], 1, "a job that must not run twice ran twice");
            }
        }
        if matches!(event, Some(AttemptEvent::Completed)) {
            self.completed.insert(request);
        }
        if let Some(event) = event {
            self.reply(owner, dispatch.attempt, event);
        }
    }

    pub fn tick(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now += TICK_MS;
            for index in 0..DAEMONS {
                if !self.daemons[index].paused {
                    self.handle_event(index, Event::Tick);
                }
            }
            self.check_deadlines();
        }
    }

    fn check_deadlines(&self) {
        let paused = |entry: &SubmittedRequest| {
            let mut daemons = self.daemons.iter();
            daemons.any(|d| d.incarnation == entry.daemon && d.paused)
        };
        for (request, entry) in &self.requests {
            let late = !entry.ended && entry.deadline <= self.now && !paused(entry);
            assert!(!late, "{request} has no outcome at its deadline");
        }
    }

    pub fn check(&self) {
        let contradicted = self.reported_not_run.intersection(&self.ran).next();
        assert_eq!(contradicted, None, "a request was reported not_run but ran");
    }

    /// Resumes all daemons and runs without further faults until all deadlines have passed and all memory must
    /// be free. Targets refuse the attempts that still arrive.
    pub fn run_to_end(&mut self) {
        (0..DAEMONS).for_each(|index| self.resume(index));
        for _ in 0..(DEADLINE_MS + FREE_TIMEOUT_MS) / TICK_MS {
            self.tick(1);
            while let Some(message) = self.in_transit.pop() {
                self.receive(message, Answer::Refuse);
            }
        }
        self.check();
        assert!(
            self.requests.values().all(|entry| entry.ended),
            "a request has no outcome"
        );
        let running_count: usize = self.targets.values().map(Target::running_count).sum();
        assert_eq!(running_count, 0, "targets never freed some memory");
    }
}
