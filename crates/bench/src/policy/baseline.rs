use {
    super::{
        cost::{MEMORY_TOKENS, engines_needed},
        fleet_records::{providers_of, target_address, target_name},
        mix::Mix,
    },
    std::collections::{BTreeMap, HashMap},
    whinlatch_core::{
        Action, AttemptEvent, Dispatch, Event, MonoMs, Submission, TargetCall, TargetEvent, Work,
    },
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::{AttemptId, Incarnation, RequestId, TargetName},
        target::{CancelRequest, GroupMember, ReleaseRequest, ReserveRequest},
    },
};

/// Attempts of one request, the first included.
const MAX_ATTEMPTS: u32 = 3;
/// Time between load reports of a target, in ms.
const REPORT_EVERY_MS: u64 = 250;
/// Reads in a row without an answer after which a target gets nothing new.
const MISSES_BEFORE_GONE: u32 = 3;
/// Longest time before a group is tried again, in ms.
const GROUP_RETRY_MS: u64 = 1_000;

/// A rule that balancers commonly follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests of this daemon outstanding.
    LeastOutstanding,
    /// The one of two drawn at random with fewer requests of this daemon outstanding.
    TwoChoices,
}

/// A daemon that follows a common rule. It draws the provider by the shares, never sends to a target
/// that is down or leaving, tries again elsewhere, and reserves groups until all engines agree.
#[derive(Debug)]
pub struct Baseline {
    rule: Rule,
    own: Incarnation,
    rng: fastrand::Rng,
    shares: Vec<u32>,
    targets: Vec<Target>,
    by_name: HashMap<TargetName, usize>,
    turn: usize,
    requests: BTreeMap<RequestId, Entry>,
    by_attempt: HashMap<AttemptId, RequestId>,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct Target {
    provider: usize,
    incarnation: Option<Incarnation>,
    leaving: bool,
    misses: u32,
    in_flight: u32,
    asked: MonoMs,
}

#[derive(Debug)]
struct Entry {
    prompt_tokens: u64,
    max_tokens: u32,
    deadline: MonoMs,
    attempts: u32,
    sent: bool,
    flight: Option<(AttemptId, usize)>,
    group: Vec<(AttemptId, usize)>,
    reserved: usize,
    group_due: Option<MonoMs>,
}

impl Baseline {
    /// A daemon that has just started.
    pub fn new(rule: Rule, own: Incarnation, mix: &Mix, targets: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let targets: Vec<Target> = providers_of(mix, targets)
            .into_iter()
            .map(Target::new)
            .collect();
        Self {
            rule,
            own,
            shares: mix.providers.iter().map(|p| p.share_per_mille).collect(),
            by_name: (0..targets.len()).map(|t| (target_name(t), t)).collect(),
            turn: rng.usize(0..targets.len()),
            rng,
            targets,
            requests: BTreeMap::new(),
            by_attempt: HashMap::new(),
            actions: Vec::new(),
        }
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: MonoMs, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.on_tick(now),
            Event::Submit(submission) => self.on_submit(now, &submission),
            Event::Attempt { attempt, event } => self.on_attempt(now, attempt, &event),
            Event::Target { target, event } => self.on_target(now, &target, event),
            _ => {}
        }
        std::mem::take(&mut self.actions)
    }

    fn on_tick(&mut self, now: MonoMs) {
        for target in 0..self.targets.len() {
            if now.since(self.targets[target].asked) >= REPORT_EVERY_MS {
                self.targets[target].asked = now;
                self.call(target, TargetCall::Report);
            }
        }
        let overdue: Vec<RequestId> = self.ids_where(|entry| entry.deadline <= now);
        for request in overdue {
            self.end(request, OutcomeKind::Unknown, Reason::DeadlineReached);
        }
        let due = self.ids_where(|entry| entry.group_due.is_some_and(|due| due <= now));
        for request in due {
            self.route(now, request);
        }
    }

    fn ids_where(&self, fits: impl Fn(&Entry) -> bool) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, entry)| fits(entry))
            .map(|(request, _)| *request)
            .collect()
    }

    fn on_submit(&mut self, now: MonoMs, submission: &Submission) {
        let Work::Prompt {
            prompt_tokens,
            max_tokens,
            ..
        } = submission.work
        else {
            return;
        };
        let entry = Entry {
            prompt_tokens,
            max_tokens,
            deadline: now + submission.deadline_ms,
            attempts: 0,
            sent: false,
            flight: None,
            group: Vec::new(),
            reserved: 0,
            group_due: None,
        };
        self.requests.insert(submission.request, entry);
        self.route(now, submission.request);
    }

    fn route(&mut self, now: MonoMs, request: RequestId) {
        let provider = self.draw_provider();
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        entry.group_due = None;
        let engines = engines_needed(entry.prompt_tokens, entry.max_tokens);
        let mut chosen: Vec<usize> = Vec::new();
        for _ in 0..engines {
            let Some(target) = self.choose(provider, &chosen) else {
                self.end(request, OutcomeKind::NotRun, Reason::NoTarget);
                return;
            };
            chosen.push(target);
        }
        if engines == 1 {
            self.dispatch(request, chosen[0], now);
        } else {
            self.reserve(now, request, &chosen);
        }
    }

    fn draw_provider(&mut self) -> usize {
        let mut point = self.rng.u32(0..self.shares.iter().sum());
        for (provider, share) in self.shares.iter().enumerate() {
            if point < *share {
                return provider;
            }
            point -= share;
        }
        0
    }

    fn choose(&mut self, provider: usize, taken: &[usize]) -> Option<usize> {
        let usable: Vec<usize> = (0..self.targets.len())
            .filter(|target| !taken.contains(target) && self.targets[*target].takes_work())
            .collect();
        let own: Vec<usize> = usable
            .iter()
            .copied()
            .filter(|target| self.targets[*target].provider == provider)
            .collect();
        let from = if own.is_empty() { usable } else { own };
        if from.is_empty() {
            return None;
        }
        let load = |target: &usize| self.targets[*target].in_flight;
        let chosen = match self.rule {
            Rule::RoundRobin => {
                self.turn += 1;
                from[self.turn % from.len()]
            }
            Rule::LeastOutstanding => {
                let least = from.iter().map(load).min()?;
                let ties: Vec<usize> = from.into_iter().filter(|t| load(t) == least).collect();
                ties[self.rng.usize(0..ties.len())]
            }
            Rule::TwoChoices => {
                let one = from[self.rng.usize(0..from.len())];
                let two = from[self.rng.usize(0..from.len())];
                if load(&one) <= load(&two) { one } else { two }
            }
        };
        Some(chosen)
    }

    fn reserve(&mut self, now: MonoMs, request: RequestId, chosen: &[usize]) {
        let group: Vec<(AttemptId, usize)> = chosen
            .iter()
            .map(|target| (AttemptId(self.rng.u128(..)), *target))
            .collect();
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        let tokens = entry.prompt_tokens + u64::from(entry.max_tokens);
        let hold_ms = entry.deadline.since(now);
        entry.group.clone_from(&group);
        entry.reserved = 0;
        for (reservation, target) in group {
            self.by_attempt.insert(reservation, request);
            let Some(incarnation) = self.targets[target].incarnation else {
                continue;
            };
            let ask = ReserveRequest {
                reservation,
                owner: self.own,
                expect_incarnation: incarnation,
                tokens: tokens.div_ceil(chosen.len() as u64).min(MEMORY_TOKENS),
                hold_ms,
            };
            let call = TargetCall::Reserve {
                reserve: ask,
                send_before: now,
            };
            self.call(target, call);
        }
    }

    fn dispatch(&mut self, request: RequestId, target: usize, now: MonoMs) {
        let attempt = AttemptId(self.rng.u128(..));
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(incarnation) = self.targets[target].incarnation else {
            return;
        };
        entry.attempts += 1;
        entry.sent = true;
        entry.flight = Some((attempt, target));
        self.targets[target].in_flight += 1;
        self.by_attempt.insert(attempt, request);
        let members = entry.group.iter().skip(1);
        self.actions.push(Action::Dispatch(Box::new(Dispatch {
            request,
            attempt,
            target: target_name(target),
            address: target_address(target),
            expect_incarnation: incarnation,
            deadline: entry.deadline,
            send_before: now,
            priority: 5,
            version: None,
            resume: false,
            reservation: entry.group.first().map(|(reservation, _)| *reservation),
            group: members
                .map(|(reservation, target)| GroupMember {
                    address: target_address(*target),
                    reservation: *reservation,
                })
                .collect(),
            keep_answer: None,
        })));
    }

    fn on_attempt(&mut self, now: MonoMs, attempt: AttemptId, event: &AttemptEvent) {
        let Some(request) = self.by_attempt.get(&attempt).copied() else {
            return;
        };
        match event {
            AttemptEvent::FirstChunk => {}
            AttemptEvent::Completed => self.end(request, OutcomeKind::Completed, Reason::Done),
            _ => {
                self.clear(request);
                let more = self
                    .requests
                    .get(&request)
                    .is_some_and(|entry| entry.attempts < MAX_ATTEMPTS);
                if more {
                    self.route(now, request);
                } else {
                    self.end(request, OutcomeKind::Unknown, Reason::TargetLost);
                }
            }
        }
    }

    fn on_target(&mut self, now: MonoMs, target: &TargetName, event: TargetEvent) {
        let Some(target) = self.by_name.get(target).copied() else {
            return;
        };
        match event {
            TargetEvent::Report(report) => {
                let state = &mut self.targets[target];
                state.incarnation = Some(report.incarnation);
                state.leaving = report.leaving;
                state.misses = 0;
            }
            TargetEvent::Unreachable => {
                let state = &mut self.targets[target];
                state.misses += 1;
                if state.misses >= MISSES_BEFORE_GONE {
                    state.incarnation = None;
                }
            }
            TargetEvent::Reserved(reservation) => self.on_reserved(now, reservation),
            TargetEvent::ReserveRefused(reservation) | TargetEvent::ReserveLost(reservation) => {
                self.on_not_reserved(now, reservation);
            }
            _ => {}
        }
    }

    fn on_reserved(&mut self, now: MonoMs, reservation: AttemptId) {
        let Some(request) = self.by_attempt.get(&reservation).copied() else {
            return;
        };
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        entry.reserved += 1;
        if entry.reserved == entry.group.len() {
            let leader = entry.group[0].1;
            self.dispatch(request, leader, now);
        }
    }

    fn on_not_reserved(&mut self, now: MonoMs, reservation: AttemptId) {
        let Some(request) = self.by_attempt.get(&reservation).copied() else {
            return;
        };
        self.clear(request);
        let wait_ms = self.rng.u64(GROUP_RETRY_MS / 2..=GROUP_RETRY_MS);
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.group_due = Some(now + wait_ms);
        }
    }

    /// Cancels what is in flight and gives all reservations back.
    fn clear(&mut self, request: RequestId) {
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        let flight = entry.flight.take();
        let group = std::mem::take(&mut entry.group);
        if let Some((attempt, target)) = flight {
            self.by_attempt.remove(&attempt);
            let state = &mut self.targets[target];
            state.in_flight = state.in_flight.saturating_sub(1);
            self.call(target, TargetCall::Cancel(CancelRequest { attempt }));
        }
        for (reservation, target) in group {
            self.by_attempt.remove(&reservation);
            self.call(target, TargetCall::Release(ReleaseRequest { reservation }));
        }
    }

    fn end(&mut self, request: RequestId, outcome: OutcomeKind, reason: Reason) {
        self.clear(request);
        let sent = self.requests.remove(&request).is_some_and(|e| e.sent);
        let outcome = match outcome {
            OutcomeKind::Unknown if !sent => OutcomeKind::NotRun,
            other => other,
        };
        self.actions.push(Action::Finish(Outcome {
            request,
            outcome,
            reason,
            message: String::new(),
            retry_after_ms: None,
            ticket: None,
        }));
    }

    fn call(&mut self, target: usize, call: TargetCall) {
        self.actions.push(Action::Call {
            target: target_name(target),
            address: target_address(target),
            call,
        });
    }
}

impl Target {
    fn new(provider: usize) -> Self {
        Self {
            provider,
            incarnation: None,
            leaving: false,
            misses: 0,
            in_flight: 0,
            asked: MonoMs::default(),
        }
    }

    fn takes_work(&self) -> bool {
        self.incarnation.is_some() && !self.leaving
    }
}
