use {
    super::{
        ControlMessage, Query,
        hands::Hands,
        links::{OpenLink, OpenLinks},
        requests::Requests,
    },
    crate::{clock::timeout, errors::DaemonError, logs::DecisionLog, shared::Shared},
    async_channel::{Receiver, Sender},
    async_std::task,
    std::{
        sync::Arc,
        thread::{self, JoinHandle},
    },
    whinlatch_core::{Core, CoreOptions, Event, ForwardEnd, MonoMs},
};

/// Time between ticks of the core, in ms.
const TICK_MS: u64 = 50;

/// What the control thread starts with.
#[derive(Debug)]
pub struct ControlOptions {
    /// What the daemon knows of itself.
    pub core: CoreOptions,
    /// What the traffic shares.
    pub shared: Arc<Shared>,
    /// What reaches the thread.
    pub inbox: Receiver<ControlMessage>,
    /// Log of decisions.
    pub log: DecisionLog,
    /// Closed once nothing is in flight any more and the daemon may end.
    pub stopped: Sender<()>,
}

/// Owns the core.
#[derive(Debug)]
pub struct ControlThread {
    core: Core,
    hands: Hands,
    inbox: Receiver<ControlMessage>,
    stopped: Sender<()>,
    next_tick: MonoMs,
}

impl ControlThread {
    /// Starts the thread. It ends when a [`super::ControlHandle`] closes the inbox.
    ///
    /// # Errors
    /// [`DaemonError::Thread`] if there is no thread to be had.
    pub fn spawn(options: ControlOptions) -> Result<JoinHandle<()>, DaemonError> {
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || task::block_on(Self::new(options).run()))
            .map_err(DaemonError::Thread)
    }

    fn new(options: ControlOptions) -> Self {
        let now = options.shared.clock.now();
        Self {
            core: Core::new(now, options.core),
            hands: Hands {
                shared: options.shared,
                requests: Requests::default(),
                links: OpenLinks::default(),
                log: options.log,
                stopped: false,
            },
            inbox: options.inbox,
            stopped: options.stopped,
            next_tick: now,
        }
    }

    async fn run(mut self) {
        loop {
            let clock = Arc::clone(&self.hands.shared.clock);
            if clock.now() >= self.next_tick {
                self.tick(clock.now());
            }
            let wait_ms = self.next_tick.since(clock.now());
            match timeout(clock.as_ref(), wait_ms, self.inbox.recv()).await {
                Some(Ok(message)) => self.take(message),
                Some(Err(_closed)) => return,
                None => {}
            }
        }
    }

    fn tick(&mut self, now: MonoMs) {
        self.next_tick = now + TICK_MS;
        self.handle(Event::Tick);
        let links = self.hands.links.len();
        self.hands.shared.metrics.set_peer_links(links);
    }

    fn take(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Event(event) => self.take_event(event),
            ControlMessage::Submit {
                submission,
                instructions,
            } => {
                let request = submission.request;
                self.hands.requests.insert(request, instructions);
                self.handle(Event::Submit(submission));
            }
            ControlMessage::LinkUp {
                link,
                hello,
                opened_by,
                frames,
            } => {
                let opened = OpenLink {
                    id: link,
                    opened_by,
                    since: self.hands.shared.clock.now(),
                    frames,
                };
                if self.hands.links.insert(hello.incarnation, opened) {
                    self.handle(Event::PeerUp { hello });
                }
            }
            ControlMessage::LinkDown {
                link,
                peer,
                address,
            } => {
                if self.hands.links.is_current(peer, link) {
                    self.hands.links.remove(peer);
                    let peer = Some(peer);
                    self.handle(Event::PeerDown { address, peer });
                }
            }
            ControlMessage::LinkFrame { link, peer, frame } => {
                if self.hands.links.is_current(peer, link) {
                    self.handle(Event::PeerFrame { from: peer, frame });
                }
            }
            ControlMessage::Query(query) => self.answer(query),
        }
    }

    fn take_event(&mut self, event: Event) {
        let over = match &event {
            Event::CallerGone { request }
            | Event::ForwardEnded {
                request,
                end: ForwardEnd::Answered,
            } => Some(*request),
            _ => None,
        };
        self.handle(event);
        if let Some(request) = over {
            self.hands.requests.forget(request);
        }
    }

    fn handle(&mut self, event: Event) {
        let shared = Arc::clone(&self.hands.shared);
        let began_us = shared.clock.now_us();
        let actions = self.core.handle(shared.clock.now(), event);
        for action in actions {
            self.hands.carry_out(action);
        }
        let spent_us = shared.clock.now_us() - began_us;
        shared.metrics.note_control_time(spent_us);
        if self.hands.stopped {
            self.stopped.close();
        }
    }

    /// A reader that went away has dropped its receiver; its answer is dropped with it.
    fn answer(&self, query: Query) {
        let _sent = match query {
            Query::Entries(reply) => reply.try_send(self.core.entries()).is_ok(),
            Query::Status(reply) => {
                let now = self.hands.shared.clock.now();
                reply.try_send(self.core.status(now)).is_ok()
            }
            Query::Records(reply) => reply.try_send(self.core.records_report()).is_ok(),
            Query::Decisions(request, reply) => {
                reply.try_send(self.core.decision_report(request)).is_ok()
            }
        };
    }
}
