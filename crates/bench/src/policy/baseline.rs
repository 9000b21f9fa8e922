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

/// Attempts per request, including the first.
const MAX_ATTEMPTS: u32 = 3;
/// Interval between reads of a target's load report, in ms.
const REPORT_INTERVAL_MS: u64 = 250;
/// Consecutive failed reads of its report after which a target gets no new requests.
const MAX_MISSED_REPORTS: u32 = 3;
/// Upper bound of the random delay before a group is reserved again, in ms; the lower one is half.
const MAX_GROUP_RETRY_MS: u64 = 1_000;

/// A common load-balancing rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Takes the targets in turn.
    RoundRobin,
    /// Takes the target with the fewest outstanding requests of this daemon.
    LeastOutstanding,
    /// Draws two targets at random and takes the one with fewer outstanding requests of this daemon.
    TwoChoices,
}

/// A daemon that follows a common rule. It draws the provider in proportion to the shares, skips
/// targets that are down or leaving, retries on another target, and retries the reservation of a
/// group until every engine grants it.
#[derive(Debug)]
pub struct Baseline {
    rule: Rule,
    incarnation: Incarnation,
    rng: fastrand::Rng,
    shares: Vec<u32>,
    targets: Vec<Target>,
    by_name: HashMap<TargetName, usize>,
    /// Round-robin cursor.
    cursor: usize,
    requests: BTreeMap<RequestId, OpenRequest>,
    by_attempt: HashMap<AttemptId, RequestId>,
    actions: Vec<Action>,
}

/// A target as its reports describe it.
#[derive(Debug)]
struct Target {
    provider: usize,
    /// Absent until the first report and while the target is down.
    incarnation: Option<Incarnation>,
    leaving: bool,
    missed_reports: u32,
    in_flight: u32,
    report_requested_at: MonoMs,
}

/// State of a request until its end.
#[derive(Debug)]
struct OpenRequest {
    prompt_tokens: u64,
    max_tokens: u32,
    deadline: MonoMs,
    attempts: u32,
    sent: bool,
    in_flight: Option<(AttemptId, usize)>,
    /// Reservations of the group and their targets, the leader first.
    group: Vec<(AttemptId, usize)>,
    granted: usize,
    group_retry_at: Option<MonoMs>,
}

impl Baseline {
    /// Creates a daemon that has no reports yet.
    pub fn new(rule: Rule, incarnation: Incarnation, mix: &Mix, targets: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let targets: Vec<Target> = providers_of(mix, targets)
            .into_iter()
            .map(Target::new)
            .collect();
        Self {
            rule,
            incarnation,
            shares: mix.providers.iter().map(|p| p.share_per_mille).collect(),
            by_name: (0..targets.len()).map(|t| (target_name(t), t)).collect(),
            cursor: rng.usize(0..targets.len()),
            rng,
            targets,
            requests: BTreeMap::new(),
            by_attempt: HashMap::new(),
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to carry out.
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
            if now.since(self.targets[target].report_requested_at) >= REPORT_INTERVAL_MS {
                self.targets[target].report_requested_at = now;
                self.call(target, TargetCall::Report);
            }
        }
        let expired: Vec<RequestId> = self.requests_where(|open| open.deadline <= now);
        for request in expired {
            self.finish(request, OutcomeKind::Unknown, Reason::DeadlineReached);
        }
        let to_retry = self.requests_where(|open| open.group_retry_at.is_some_and(|at| at <= now));
        for request in to_retry {
            self.route(now, request);
        }
    }

    fn requests_where(&self, matches: impl Fn(&OpenRequest) -> bool) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, open)| matches(open))
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
        let open = OpenRequest {
            prompt_tokens,
            max_tokens,
            deadline: now + submission.deadline_ms,
            attempts: 0,
            sent: false,
            in_flight: None,
            group: Vec::new(),
            granted: 0,
            group_retry_at: None,
        };
        self.requests.insert(submission.request, open);
        self.route(now, submission.request);
    }

    fn route(&mut self, now: MonoMs, request: RequestId) {
        let provider = self.draw_provider();
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        open.group_retry_at = None;
        let engines = engines_needed(open.prompt_tokens, open.max_tokens);
        let mut chosen: Vec<usize> = Vec::new();
        for _ in 0..engines {
            let Some(target) = self.choose(provider, &chosen) else {
                self.finish(request, OutcomeKind::NotRun, Reason::NoTarget);
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

    /// Chooses a target of the provider that isn't in `taken`, or one of any provider if it has none.
    fn choose(&mut self, provider: usize, taken: &[usize]) -> Option<usize> {
        let usable: Vec<usize> = (0..self.targets.len())
            .filter(|target| !taken.contains(target) && self.targets[*target].is_usable())
            .collect();
        let of_provider: Vec<usize> = usable
            .iter()
            .copied()
            .filter(|target| self.targets[*target].provider == provider)
            .collect();
        let candidates = if of_provider.is_empty() {
            usable
        } else {
            of_provider
        };
        if candidates.is_empty() {
            return None;
        }
        let load = |target: &usize| self.targets[*target].in_flight;
        let chosen = match self.rule {
            Rule::RoundRobin => {
                self.cursor += 1;
                candidates[self.cursor % candidates.len()]
            }
            Rule::LeastOutstanding => {
                let lowest = candidates.iter().map(load).min()?;
                let ties: Vec<usize> = candidates
                    .into_iter()
                    .filter(|t| load(t) == lowest)
                    .collect();
                ties[self.rng.usize(0..ties.len())]
            }
            Rule::TwoChoices => {
                let first = candidates[self.rng.usize(0..candidates.len())];
                let second = candidates[self.rng.usize(0..candidates.len())];
                if load(&first) <= load(&second) {
                    first
                } else {
                    second
                }
            }
        };
        Some(chosen)
    }

    fn reserve(&mut self, now: MonoMs, request: RequestId, chosen: &[usize]) {
        let group: Vec<(AttemptId, usize)> = chosen
            .iter()
            .map(|target| (AttemptId(self.rng.u128(..)), *target))
            .collect();
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let tokens = open.prompt_tokens + u64::from(open.max_tokens);
        let hold_ms = open.deadline.since(now);
        open.group.clone_from(&group);
        open.granted = 0;
        for (reservation, target) in group {
            self.by_attempt.insert(reservation, request);
            let Some(incarnation) = self.targets[target].incarnation else {
                continue;
            };
            let reserve = ReserveRequest {
                reservation,
                owner: self.incarnation,
                expect_incarnation: incarnation,
                tokens: tokens.div_ceil(chosen.len() as u64).min(MEMORY_TOKENS),
                hold_ms,
            };
            let call = TargetCall::Reserve {
                reserve,
                send_before: now,
            };
            self.call(target, call);
        }
    }

    fn dispatch(&mut self, request: RequestId, target: usize, now: MonoMs) {
        let attempt = AttemptId(self.rng.u128(..));
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(incarnation) = self.targets[target].incarnation else {
            return;
        };
        open.attempts += 1;
        open.sent = true;
        open.in_flight = Some((attempt, target));
        self.targets[target].in_flight += 1;
        self.by_attempt.insert(attempt, request);
        let members = open.group.iter().skip(1);
        self.actions.push(Action::Dispatch(Box::new(Dispatch {
            request,
            attempt,
            target: target_name(target),
            address: target_address(target),
            expect_incarnation: incarnation,
            deadline: open.deadline,
            send_before: now,
            priority: 5,
            version: None,
            resume: false,
            reservation: open.group.first().map(|(reservation, _)| *reservation),
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
            AttemptEvent::Completed => self.finish(request, OutcomeKind::Completed, Reason::Done),
            _ => {
                self.cancel_and_release(request);
                let may_retry = self
                    .requests
                    .get(&request)
                    .is_some_and(|open| open.attempts < MAX_ATTEMPTS);
                if may_retry {
                    self.route(now, request);
                } else {
                    self.finish(request, OutcomeKind::Unknown, Reason::TargetLost);
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
                state.missed_reports = 0;
            }
            TargetEvent::Unreachable => {
                let state = &mut self.targets[target];
                state.missed_reports += 1;
                if state.missed_reports >= MAX_MISSED_REPORTS {
                    state.incarnation = None;
                }
            }
            TargetEvent::Reserved(reservation) => self.on_reserved(now, reservation),
            TargetEvent::ReserveRefused(reservation) | TargetEvent::ReserveLost(reservation) => {
                self.on_reserve_failed(now, reservation);
            }
            _ => {}
        }
    }

    fn on_reserved(&mut self, now: MonoMs, reservation: AttemptId) {
        let Some(request) = self.by_attempt.get(&reservation).copied() else {
            return;
        };
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        open.granted += 1;
        if open.granted == open.group.len() {
            let leader = open.group[0].1;
            self.dispatch(request, leader, now);
        }
    }

    fn on_reserve_failed(&mut self, now: MonoMs, reservation: AttemptId) {
        let Some(request) = self.by_attempt.get(&reservation).copied() else {
            return;
        };
        self.cancel_and_release(request);
        let delay_ms = self.rng.u64(MAX_GROUP_RETRY_MS / 2..=MAX_GROUP_RETRY_MS);
        if let Some(open) = self.requests.get_mut(&request) {
            open.group_retry_at = Some(now + delay_ms);
        }
    }

    /// Cancels the attempt in flight and releases all reservations.
    fn cancel_and_release(&mut self, request: RequestId) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let in_flight = open.in_flight.take();
        let group = std::mem::take(&mut open.group);
        if let Some((attempt, target)) = in_flight {
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

    fn finish(&mut self, request: RequestId, outcome: OutcomeKind, reason: Reason) {
        self.cancel_and_release(request);
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
            missed_reports: 0,
            in_flight: 0,
            report_requested_at: MonoMs::default(),
        }
    }

    fn is_usable(&self) -> bool {
        self.incarnation.is_some() && !self.leaving
    }
}
