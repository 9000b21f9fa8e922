//! Links between instances. Each opens those that it wants and those that peers ask for, and only
//! sends on them; what it hears comes over the links that the others open. One that breaks is opened
//! anew and begins with all that the peer needs.

use {
    super::{
        accept::accept_all,
        decision_line::Decision,
        entry_state::EntryState,
        frame_codec::{decode_frame, encode_frame},
    },
    crate::{
        clock::timeout,
        peers::link_config,
        targets::{GuardedStream, connect_within},
    },
    async_channel::Receiver,
    async_std::{
        net::{TcpListener, TcpStream},
        task,
    },
    async_tungstenite::{
        WebSocketStream, accept_async_with_config, client_async_with_config,
        tungstenite::{Bytes, Error, Message},
    },
    futures::StreamExt,
    std::{
        collections::{BTreeMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    whinlatch_core::MonoMs,
    whinlatch_platform::read_configuration,
    whinlatch_serving::{
        Recipients, Serving, StoreDuty, WantedLinks,
        fleet::{Beat, EngineGroup, Frame, PlacementAnswer, PlacementAsk},
    },
};

/// Time between looks for news that peers are told, in ms. News 20 ms old costs placement nothing
/// that can be measured; news 100 ms old does.
const NEWS_MS: u64 = 20;
/// Time between looks for what time alone decides, in ms.
const TICK_MS: u64 = 250;
/// Time between looks for links that are missing while an instance starts, in ms.
const STARTING_LOOK_MS: u64 = 50;
/// Time for a link to open, in ms.
const OPEN_MS: u64 = 800;
/// The same while an instance starts, in ms: some fifty crossings of the network.
///
/// Guards against peers that start at the same moment: what is sent to one that isn't up yet is
/// dropped, and sent again only after a second. Instances that all started anew learnt of each other
/// 1.3 s later, and of 66 prompts of the first quarter of a second 44 began late; with this, 15.
const STARTING_OPEN_MS: u64 = 150;
/// Time for a peer to take a frame, in ms.
const SEND_MS: u64 = 1_000;
/// Time that a frame may stay without an acknowledgement: a link that went silent is given up
/// while the peer still counts as heard of by most.
const UNACKNOWLEDGED: Duration = Duration::from_secs(1);
/// Time between two tries to open a link, in ms.
const REOPEN_MS: u64 = 300;
/// The same while an instance starts, in ms.
const STARTING_REOPEN_MS: u64 = 50;
/// Silence after which a link that a peer opened is closed, in ms.
const SILENT_MS: u64 = 5_000;
/// A gap between two ticks after which the process is taken to have been paused, in ms.
const PAUSE_MS: u64 = 700;

/// How links are opened.
#[derive(Debug, Clone, Copy)]
struct OpenRule {
    open_ms: u64,
    reopen_ms: u64,
}

/// What keeps links and tells news.
struct Keeper {
    state: Arc<EntryState>,
    /// The peers that know this instance's prompts, and on which groups of engines.
    informed: BTreeMap<SocketAddr, Vec<EngineGroup>>,
    wanted: WantedLinks,
    is_hub: bool,
    /// The relay that this instance goes by, as the log has it.
    relay: Option<SocketAddr>,
}

/// Keeps links to peers and tells them what is new, for ever.
pub async fn keep_links(state: Arc<EntryState>) {
    let mut next_beat = state.now();
    let mut next_tick = state.now();
    let mut next_look = state.now();
    let mut last = state.now();
    let mut keeper = Keeper {
        state: Arc::clone(&state),
        informed: BTreeMap::new(),
        wanted: WantedLinks::default(),
        is_hub: false,
        relay: None,
    };
    loop {
        state.clock.sleep(NEWS_MS).await;
        let now = state.now();
        notice_pause(&state, now, last);
        last = now;
        if now >= next_tick {
            next_tick = now + TICK_MS;
            keeper.tick(now);
        }
        if state.is_starting() && now >= next_look {
            next_look = now + STARTING_LOOK_MS;
            keeper.look_for_links(now);
        }
        keeper.tell_news();
        keeper.pass_on(now);
        keeper.tell_roster(now);
        if now >= next_beat || state.serving().is_beat_due() {
            keeper.beat(now);
            next_beat = now + state.serving().beat_ms();
        }
    }
}

fn notice_pause(state: &EntryState, now: MonoMs, last: MonoMs) {
    let paused_ms = now.since(last);
    if paused_ms > PAUSE_MS {
        state.serving().woke(now);
        state.log(&Decision::Woke { paused_ms });
    }
}

impl Keeper {
    fn open_rule(&self) -> OpenRule {
        if self.state.is_starting() {
            return OpenRule {
                open_ms: STARTING_OPEN_MS,
                reopen_ms: STARTING_REOPEN_MS,
            };
        }
        OpenRule {
            open_ms: OPEN_MS,
            reopen_ms: REOPEN_MS,
        }
    }

    /// Opens links that are missing, and tells peers to which there is one by now what is at work.
    fn look_for_links(&mut self, now: MonoMs) {
        self.wanted = self.state.serving().wanted_links(now);
        let linked = self.open_missing(now);
        self.inform(now, &linked);
    }

    fn tick(&mut self, now: MonoMs) {
        let state = &self.state;
        let seeds = state.seed_peers();
        let mut serving = state.serving();
        serving.seeded(&seeds);
        serving.tick(now);
        let roster = serving.roster_news(now);
        let (is_hub, peers) = (serving.is_hub(), serving.peers(now));
        let duty = serving.store_duty(now);
        drop(serving);
        if std::mem::replace(&mut self.is_hub, is_hub) != is_hub {
            state.log(&Decision::Hub { is_hub, peers });
        }
        state.pool.forget_old(now);
        self.note_relay(duty);
        self.tell_all(roster);
        self.look_for_links(now);
        self.ask_for_missing(now);
    }

    /// Closes links that aren't wanted any more and opens those that are missing. Returns the peers
    /// to which there was one before.
    fn open_missing(&self, now: MonoMs) -> HashSet<SocketAddr> {
        let state = &self.state;
        let wanted = |address: &SocketAddr| {
            self.wanted.own.contains(address) || self.wanted.asked.contains(address)
        };
        let linked = state.links.retain(wanted);
        let own = self.wanted.own.iter().map(|address| (*address, true));
        let asked = self.wanted.asked.iter().map(|address| (*address, false));
        for (address, asks_for_link) in own.chain(asked) {
            if let Some(queue) = state.links.open(address) {
                let first = state.serving().greeting(now, address, asks_for_link);
                let rule = self.open_rule();
                task::spawn(keep_link(Arc::clone(state), address, rule, first, queue));
            }
        }
        linked
    }

    /// Tells those that are to know of prompts, and didn't so far, what is at work.
    fn inform(&mut self, now: MonoMs, linked: &HashSet<SocketAddr>) {
        let mut wanted = self.state.serving().informed();
        wanted.retain(|address, _| linked.contains(address));
        for (address, groups) in &wanted {
            if self.informed.get(address) != Some(groups) {
                let jobs = self.state.serving().jobs(now, groups);
                self.state.send(&[*address], &jobs);
            }
        }
        self.informed = wanted;
    }

    fn ask_for_missing(&self, now: MonoMs) {
        let wants = self.state.serving().wants(now);
        if let Some((peers, frame)) = wants {
            self.state.send(&peers, &frame);
        }
    }

    fn tell_roster(&self, now: MonoMs) {
        let roster = {
            let mut serving = self.state.serving();
            serving
                .is_roster_due()
                .then(|| serving.roster_news(now))
                .flatten()
        };
        self.tell_all(roster);
    }

    fn tell_all(&self, roster: Option<Frame>) {
        if let Some(roster) = roster {
            self.state.send_to_all(&roster);
        }
    }

    fn tell_news(&self) {
        let news = self.state.serving().take_news();
        for (recipients, frame) in news {
            match recipients {
                Recipients::All => self.state.send_to_all(&frame),
                Recipients::Some(to) => self.state.send(&to, &frame),
            }
        }
    }

    /// Passes on what is published to those that go by this instance.
    fn pass_on(&self, now: MonoMs) {
        let state = &self.state;
        if !state.serving().has_followers() {
            return;
        }
        let linked = state.links.linked();
        let news = state.serving().relay_news(now, &linked);
        for (to, frame) in news {
            state.metrics.note_passed_on(frame.targets.len() * to.len());
            state.send(&to, &frame);
        }
    }

    /// Logs whether this instance goes by a relay, and by which.
    fn note_relay(&mut self, duty: StoreDuty) {
        let state = &self.state;
        let relay = match duty {
            StoreDuty::Follow(relay) => Some(relay),
            StoreDuty::Watch | StoreDuty::StandIn { .. } => None,
        };
        if let Some(relay) = relay {
            state.metrics.note_knowledge_age(relay.age_ms);
        }
        let address = relay.map(|relay| relay.address);
        if self.relay.is_some() == address.is_some() {
            return;
        }
        self.relay = address;
        state.log(&match relay {
            Some(relay) => Decision::Relayed {
                relay: relay.address.to_string(),
                revision: relay.revision,
                age_ms: relay.age_ms,
            },
            None => Decision::RelayLost {
                duty: duty.name(),
                known_to: state.serving().known_to(),
            },
        });
    }

    /// Sends a heartbeat over all links; to those that this instance wants itself, it says so, and to its
    /// relays what it knows.
    fn beat(&self, now: MonoMs) {
        let mut heartbeat = self.state.serving().heartbeat(now);
        let asked: Vec<SocketAddr> = self.wanted.asked.iter().copied().collect();
        self.state.send(&asked, &heartbeat);
        let Some(beat) = heartbeat.beat else {
            return;
        };
        let relays = self.state.serving().relays(now);
        let mut own: Vec<SocketAddr> = self.wanted.own.iter().copied().collect();
        own.retain(|address| !relays.contains(address));
        let beat = Beat {
            asks_for_link: true,
            ..beat
        };
        heartbeat.beat = Some(beat);
        self.state.send(&own, &heartbeat);
        for relay in relays {
            let follows = self.state.serving().follow_of(now, relay);
            heartbeat.beat = Some(Beat { follows, ..beat });
            self.state.send(&[relay], &heartbeat);
        }
    }
}

/// Opens a link and sends on it until it breaks or isn't wanted any more. The end of the queue's
/// receiver tells that it may be opened anew.
async fn keep_link(
    state: Arc<EntryState>,
    address: SocketAddr,
    rule: OpenRule,
    first: Frame,
    queue: Receiver<Bytes>,
) {
    let clock = state.clock.as_ref();
    let opened = timeout(clock, rule.open_ms, open(&state, address)).await;
    let Some(Ok(mut socket)) = opened else {
        state.serving().peer_lost(state.now(), address);
        clock.sleep(rule.reopen_ms).await;
        return;
    };
    let peer = address.to_string();
    state.metrics.note_linked();
    state.log(&Decision::PeerLinked { peer: peer.clone() });
    let fault = send_all(&state, &mut socket, first, &queue).await;
    state.metrics.note_unlinked();
    let fault = match fault {
        None => "the link isn't wanted any more".to_owned(),
        Some(fault) => {
            state.serving().peer_lost(state.now(), address);
            fault
        }
    };
    state.log(&Decision::PeerLost { peer, fault });
    queue.close();
    clock.sleep(rule.reopen_ms).await;
}

async fn open(
    state: &EntryState,
    address: SocketAddr,
) -> Result<WebSocketStream<GuardedStream>, String> {
    let clock = state.clock.as_ref();
    let stream = connect_within(clock, address, OPEN_MS, UNACKNOWLEDGED)
        .await
        .map_err(|fault| fault.to_string())?;
    let url = format!("ws://{address}/");
    client_async_with_config(url, stream, Some(link_config()))
        .await
        .map(|(socket, _response)| socket)
        .map_err(|fault| fault.to_string())
}

/// Sends until the link breaks, and returns why, or isn't wanted any more.
async fn send_all(
    state: &EntryState,
    socket: &mut WebSocketStream<GuardedStream>,
    first: Frame,
    queue: &Receiver<Bytes>,
) -> Option<String> {
    let mut next = match encode_frame(&first) {
        Ok(bytes) => Some(bytes),
        Err(fault) => return Some(fault.to_string()),
    };
    while let Some(bytes) = next {
        let sent = socket.send(Message::Binary(bytes));
        match timeout(state.clock.as_ref(), SEND_MS, sent).await {
            Some(Ok(())) => {}
            Some(Err(fault)) => return Some(fault.to_string()),
            None => return Some("the peer takes nothing".to_owned()),
        }
        next = queue.recv().await.ok();
    }
    None
}

/// Takes links that peers open, for ever.
pub async fn take_links(state: Arc<EntryState>, listener: TcpListener) {
    accept_all(state, listener, "links", take_link).await;
}

async fn take_link(state: Arc<EntryState>, stream: TcpStream) {
    // A connection that is closed already takes no options.
    if let Ok(stream) = GuardedStream::new(stream) {
        hear(&state, stream).await;
    }
}

async fn hear(state: &EntryState, stream: GuardedStream) {
    let clock = state.clock.as_ref();
    let accepted = accept_async_with_config(stream, Some(link_config()));
    let Some(Ok(mut socket)) = timeout(clock, OPEN_MS, accepted).await else {
        return;
    };
    let mut from = None;
    loop {
        let message = match timeout(clock, SILENT_MS, socket.next()).await {
            Some(Some(Ok(message))) => message,
            Some(Some(Err(Error::Capacity(fault)))) => {
                state.log(&Decision::Unreadable {
                    fault: format!("a frame of a peer: {fault}"),
                });
                return;
            }
            _silent_or_closed => return,
        };
        let Message::Binary(bytes) = message else {
            continue;
        };
        let frame = match decode_frame(&bytes) {
            Ok(frame) => frame,
            Err(fault) => {
                let fault = fault.to_string();
                state.log(&Decision::Unreadable { fault });
                return;
            }
        };
        from = frame.member.as_ref().map(|member| member.run).or(from);
        if let Some(from) = from {
            take_frame(state, from, frame);
        }
    }
}

fn take_frame(state: &EntryState, from: u64, mut frame: Frame) {
    if let Some(answer) = frame.answer.take() {
        state.links.answered(answer);
    }
    let wants = frame.wants.take();
    let ask = frame.ask.take();
    let now = state.now();
    let mut serving = state.serving();
    let before = serving.version();
    let changes = serving.on_frame(now, from, frame, |text| {
        let read = read_configuration(text);
        read.map_err(|fault| {
            let fault = fault.to_string();
            state.log(&Decision::Unreadable { fault });
        })
        .ok()
    });
    let version = serving.version();
    let lacking = wants.map(|wants| (wants.reply_to, serving.lacking(&wants)));
    let answer = ask.map(|ask| (ask.reply_to, answer(&mut serving, now, &ask)));
    drop(serving);
    state.note_published();
    state.metrics.note_told(changes.len());
    for change in &changes {
        state.log(&Decision::target(change, "peer"));
    }
    for (to, frame) in lacking.into_iter().chain(answer) {
        state.send(&[to], &frame);
    }
    if version != before {
        let source = "peer";
        state.log(&Decision::Configured { version, source });
    }
}

fn answer(serving: &mut Serving, now: MonoMs, ask: &PlacementAsk) -> Frame {
    let placement = serving.choose_engines(now, ask.job, ask.group, &ask.prompt);
    Frame {
        answer: Some(PlacementAnswer {
            job: ask.job,
            placement,
        }),
        ..Frame::default()
    }
}
