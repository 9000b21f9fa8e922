use {
    super::{
        ControlMessage, Query,
        action_executor::ActionExecutor,
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
const TICK_INTERVAL_MS: u64 = 50;

/// Start options of the control thread.
#[derive(Debug)]
pub struct ControlOptions {
    /// Identity and addresses of this daemon.
    pub core: CoreOptions,
    /// State shared with the request tasks.
    pub shared: Arc<Shared>,
    /// Messages to the thread.
    pub inbox: Receiver<ControlMessage>,
    /// Log of decisions.
    pub log: DecisionLog,
    /// Closed once no request is in flight and the daemon may exit.
    pub stopped: Sender<()>,
}

/// The thread that owns the core; see [`super`].
#[derive(Debug)]
pub struct ControlThread {
    core: Core,
    executor: ActionExecutor,
    inbox: Receiver<ControlMessage>,
    stopped: Sender<()>,
    next_tick: MonoMs,
}

impl ControlThread {
    /// Starts the thread. It ends after [`super::ControlHandle::close`].
    ///
    /// # Errors
    /// [`DaemonError::Thread`] if the system can't start a thread.
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
            executor: ActionExecutor {
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
            let clock = Arc::clone(&self.executor.shared.clock);
            if clock.now() >= self.next_tick {
                self.tick(clock.now());
            }
            let wait_ms = self.next_tick.since(clock.now());
            match timeout(clock.as_ref(), wait_ms, self.inbox.recv()).await {
                Some(Ok(message)) => self.on_message(message),
                Some(Err(_closed)) => return,
                None => {}
            }
        }
    }

    fn tick(&mut self, now: MonoMs) {
        self.next_tick = now + TICK_INTERVAL_MS;
        self.handle(Event::Tick);
        let links = self.executor.links.len();
        self.executor.shared.metrics.set_peer_links(links);
    }

    fn on_message(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Event(event) => self.on_event(event),
            ControlMessage::Submit {
                submission,
                instructions,
            } => {
                let request = submission.request;
                self.executor.requests.insert(request, instructions);
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
                    opened_at: self.executor.shared.clock.now(),
                    frames,
                };
                if self.executor.links.insert(hello.incarnation, opened) {
                    self.handle(Event::PeerUp { hello });
                }
            }
            ControlMessage::LinkDown {
                link,
                peer,
                address,
            } => {
                if self.executor.links.is_current(peer, link) {
                    self.executor.links.remove(peer);
                    let peer = Some(peer);
                    self.handle(Event::PeerDown { address, peer });
                }
            }
            ControlMessage::LinkFrame { link, peer, frame } => {
                if self.executor.links.is_current(peer, link) {
                    self.handle(Event::PeerFrame { from: peer, frame });
                }
            }
            ControlMessage::Query(query) => self.answer(query),
        }
    }

    fn on_event(&mut self, event: Event) {
        let ended_request = match &event {
            Event::CallerGone { request }
            | Event::ForwardEnded {
                request,
                end: ForwardEnd::Answered,
            } => Some(*request),
            _ => None,
        };
        self.handle(event);
        if let Some(request) = ended_request {
            self.executor.requests.remove(request);
        }
    }

    fn handle(&mut self, event: Event) {
        let shared = Arc::clone(&self.executor.shared);
        let started_us = shared.clock.now_us();
        let actions = self.core.handle(shared.clock.now(), event);
        for action in actions {
            self.executor.execute(action);
        }
        let elapsed_us = shared.clock.now_us() - started_us;
        shared.metrics.record_control_time(elapsed_us);
        if self.core.is_leaving() {
            shared.open_connections.set_leaving();
        }
        if self.executor.stopped {
            self.stopped.close();
        }
    }

    /// Answers a query. If the reader has dropped its receiver, the answer is dropped.
    fn answer(&self, query: Query) {
        let _sent = match query {
            Query::Entries(reply) => reply.try_send(self.core.entries()).is_ok(),
            Query::Status(reply) => {
                let now = self.executor.shared.clock.now();
                reply.try_send(self.core.status(now)).is_ok()
            }
            Query::Records(reply) => reply.try_send(self.core.records_report()).is_ok(),
            Query::Decisions(request, reply) => {
                reply.try_send(self.core.decision_report(request)).is_ok()
            }
        };
    }
}
