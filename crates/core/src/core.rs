//! State of the core, and dispatch of events to their handlers, one module for each kind of event.

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
    links::WantedLinks,
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::{AttemptId, RequestId, TargetName},
        platform::InstanceList,
    },
};

/// Complete control state of one daemon.
#[derive(Debug)]
pub struct Core {
    options: CoreOptions,
    started_at: MonoMs,
    last_event_at: MonoMs,
    leaving_since: Option<MonoMs>,
    /// Whether the process exits without waiting for callers to drop this daemon's address.
    is_aborted: bool,
    stopped: bool,
    refresh: Option<ResumeRefresh>,
    next_orders_at: MonoMs,
    next_eviction_at: MonoMs,
    rng: fastrand::Rng,
    records: RecordStore,
    members: Members,
    targets: Targets,
    links: Links,
    pulls: RecordPulls,
    platform: PlatformReader,
    instance_list: Option<InstanceList>,
    wanted_links: WantedLinks,
    router: Router,
    groups: Groups,
    requests: RequestTable,
    tickets: TicketTable,
    retries: RetryBudget,
    poison: PoisonTracker,
    leak_detector: LeakDetector,
    order_planner: OrderPlanner,
    decision_history: DecisionHistory,
    /// Targets whose load by this daemon has changed since it was last sent to peers.
    unsent_loads: Vec<TargetName>,
    last_load_number: u64,
    loads_sent_at: MonoMs,
    actions: Vec<Action>,
}

impl Core {
    /// Creates the state of a daemon that starts at `now`: no records, no known peers or targets.
    pub fn new(now: MonoMs, options: CoreOptions) -> Self {
        let mut rng = fastrand::Rng::with_seed(options.seed);
        Self {
            started_at: now,
            last_event_at: now,
            leaving_since: None,
            is_aborted: false,
            stopped: false,
            refresh: None,
            next_orders_at: now,
            next_eviction_at: now,
            records: RecordStore::default(),
            members: Members::new(options.as_news()),
            targets: Targets::default(),
            links: Links::default(),
            pulls: RecordPulls::default(),
            platform: PlatformReader::new(now),
            instance_list: None,
            wanted_links: WantedLinks::default(),
            router: Router::default(),
            groups: Groups::default(),
            requests: RequestTable::default(),
            tickets: TicketTable::new(options.incarnation, rng.u64(..)),
            retries: RetryBudget::default(),
            poison: PoisonTracker::default(),
            leak_detector: LeakDetector::default(),
            order_planner: OrderPlanner::default(),
            rng,
            decision_history: DecisionHistory::default(),
            unsent_loads: Vec::new(),
            last_load_number: 0,
            loads_sent_at: now,
            actions: Vec::new(),
            options,
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
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
            Event::Abort => self.on_abort(now),
        }
        self.send_loads(now);
        std::mem::take(&mut self.actions)
    }

    fn emit(&mut self, action: Action) {
        self.actions.push(action);
    }

    fn record_decision(
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
        self.decision_history.record(now, &decision);
        self.emit(Action::Decided(decision));
    }

    fn random_attempt_id(&mut self) -> AttemptId {
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
