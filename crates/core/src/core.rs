//! The core: owns the aggregates and passes events to them.

mod on_attempt;
mod on_group;
mod on_load;
mod on_peer;
mod on_platform;
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
        decisions::{Decision, DecisionBook, Part},
        event::Event,
        fleet::{Members, Targets},
        peers::Links,
        placement::Groups,
        records::RecordStore,
        requests::{RequestTable, TicketBook},
        routing::Router,
        time::MonoMs,
    },
    on_platform::PlatformReader,
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::{AttemptId, RequestId, TargetName},
    },
};

/// All control state of one daemon.
#[derive(Debug)]
pub struct Core {
    options: CoreOptions,
    started: MonoMs,
    last_event: MonoMs,
    leaving_since: Option<MonoMs>,
    rng: fastrand::Rng,
    records: RecordStore,
    members: Members,
    targets: Targets,
    links: Links,
    platform: PlatformReader,
    router: Router,
    groups: Groups,
    requests: RequestTable,
    tickets: TicketBook,
    book: DecisionBook,
    untold: Vec<TargetName>,
    load_number: u64,
    restated: MonoMs,
    actions: Vec<Action>,
}

impl Core {
    /// State of a daemon that has just started.
    pub fn new(now: MonoMs, options: CoreOptions) -> Self {
        Self {
            started: now,
            last_event: now,
            leaving_since: None,
            rng: fastrand::Rng::with_seed(options.seed),
            records: RecordStore::default(),
            members: Members::default(),
            targets: Targets::default(),
            links: Links::default(),
            platform: PlatformReader::new(now),
            router: Router::default(),
            groups: Groups::default(),
            requests: RequestTable::default(),
            tickets: TicketBook::new(options.incarnation),
            book: DecisionBook::default(),
            untold: Vec::new(),
            load_number: 0,
            restated: now,
            actions: Vec::new(),
            options,
        }
    }

    /// Takes in an event and returns what is to be done, in order.
    pub fn handle(&mut self, now: MonoMs, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.on_tick(now),
            Event::Platform(event) => self.on_platform(now, event),
            Event::PeerUp { hello } => self.on_peer_up(now, &hello),
            Event::PeerFrame { from, frame } => self.on_peer_frame(now, from, &frame),
            Event::PeerDown { address, peer } => self.on_peer_down(address, peer),
            Event::Submit(submission) => self.on_submit(now, *submission),
            Event::Attempt { attempt, event } => self.on_attempt(now, attempt, event),
            Event::CallerGone { request } => self.on_caller_gone(now, request),
            Event::Target { target, event } => self.on_target(now, &target, event),
            Event::Stop => self.on_stop(now),
        }
        self.tell_loads(now);
        self.last_event = now;
        std::mem::take(&mut self.actions)
    }

    fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    fn decide(&mut self, now: MonoMs, part: Part, request: Option<RequestId>, text: String) {
        let decision = Decision {
            part,
            request,
            text,
        };
        self.book.note(now, &decision);
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
        self.finish_with(now, outcome);
    }
}
