//! The core: owns the aggregates and passes events to them.

mod links;
mod on_attempt;
mod on_group;
mod on_holdings;
mod on_load;
mod on_order;
mod on_peer;
mod on_platform;
mod on_poison;
mod on_records;
mod on_stop;
mod on_submit;
mod on_target;
mod on_tick;
mod on_ticket;
mod options;
mod reports;

pub use options::CoreOptions;

use {
    crate::{
        action::Action,
        decisions::{Decision, DecisionHistory, Subsystem},
        event::Event,
        fleet::{Members, Targets},
        orders::OrderPlanner,
        peers::{Links, RecordPulls},
        placement::Groups,
        records::{PlatformReader, RecordStore},
        requests::{
            LeakDetector, PoisonTracker, RequestTable, ResumeRefresh, RetryBudget, TicketTable,
        },
        routing::Router,
        time::MonoMs,
    },
    links::Wanted,
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::{AttemptId, RequestId, TargetName},
        platform::InstanceList,
    },
};

/// All control state of one daemon.
#[derive(Debug)]
pub struct Core {
    options: CoreOptions,
    started: MonoMs,
    last_event: MonoMs,
    leaving_since: Option<MonoMs>,
    stopped: bool,
    refresh: Option<ResumeRefresh>,
    next_orders: MonoMs,
    next_sweep: MonoMs,
    rng: fastrand::Rng,
    records: RecordStore,
    members: Members,
    targets: Targets,
    links: Links,
    pulls: RecordPulls,
    platform: PlatformReader,
    list: Option<InstanceList>,
    wanted: Wanted,
    router: Router,
    groups: Groups,
    requests: RequestTable,
    tickets: TicketTable,
    retries: RetryBudget,
    poison: PoisonTracker,
    holdings: LeakDetector,
    orderer: OrderPlanner,
    book: DecisionHistory,
    untold: Vec<TargetName>,
    load_number: u64,
    restated: MonoMs,
    actions: Vec<Action>,
}

impl Core {
    /// State of a daemon that has just started.
    pub fn new(now: MonoMs, options: CoreOptions) -> Self {
        let mut rng = fastrand::Rng::with_seed(options.seed);
        Self {
            started: now,
            last_event: now,
            leaving_since: None,
            stopped: false,
            refresh: None,
            next_orders: now,
            next_sweep: now,
            records: RecordStore::default(),
            members: Members::new(options.as_news()),
            targets: Targets::default(),
            links: Links::default(),
            pulls: RecordPulls::default(),
            platform: PlatformReader::new(now),
            list: None,
            wanted: Wanted::default(),
            router: Router::default(),
            groups: Groups::default(),
            requests: RequestTable::default(),
            tickets: TicketTable::new(options.incarnation, rng.u64(..)),
            retries: RetryBudget::default(),
            poison: PoisonTracker::default(),
            holdings: LeakDetector::default(),
            orderer: OrderPlanner::default(),
            rng,
            book: DecisionHistory::default(),
            untold: Vec::new(),
            load_number: 0,
            restated: now,
            actions: Vec::new(),
            options,
        }
    }

    /// Takes in an event and returns what is to be done, in order.
    pub fn handle(&mut self, now: MonoMs, event: Event) -> Vec<Action> {
        self.advance(now);
        match event {
            Event::Tick => self.on_tick(now),
            Event::Platform(event) => self.on_platform(now, event),
            Event::PeerUp { hello } => self.on_peer_up(now, &hello),
            Event::PeerFrame { from, frame } => self.on_peer_frame(now, from, &frame),
            Event::PeerDown { address, peer } => self.on_peer_down(address, peer),
            Event::Submit(submission) => self.on_submit(now, *submission),
            Event::Attempt { attempt, event } => self.on_attempt(now, attempt, event),
            Event::ForwardEnded { request, end } => self.on_forward_ended(now, request, end),
            Event::CallerGone { request } => self.on_caller_gone(now, request),
            Event::Target { target, event } => self.on_target(now, &target, event),
            Event::Stop => self.on_stop(now),
        }
        self.tell_loads(now);
        std::mem::take(&mut self.actions)
    }

    fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    fn decide(
        &mut self,
        now: MonoMs,
        subsystem: Subsystem,
        request: Option<RequestId>,
        text: String,
    ) {
        let decision = Decision {
            subsystem,
            request,
            text,
        };
        self.book.record(now, &decision);
        self.act(Action::Decided(decision));
    }

    fn draw_attempt(&mut self) -> AttemptId {
        AttemptId(self.rng.u128(..))
    }

    fn finish(
        &mut self,
        now: MonoMs,
        request: RequestId,
        kind: OutcomeKind,
        reason: Reason,
        message: &str,
        retry_after_ms: Option<u64>,
    ) {
        let outcome = Outcome {
            request,
            outcome: kind,
            reason,
            message: message.to_owned(),
            retry_after_ms,
            ticket: None,
        };
        self.finish_with(now, &outcome);
    }
}
