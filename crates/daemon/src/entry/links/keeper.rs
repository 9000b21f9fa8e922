use {
    super::outgoing::keep_link,
    crate::entry::{decision_line::Decision, entry_state::EntryState},
    async_std::task,
    std::{
        collections::{BTreeMap, HashSet},
        net::SocketAddr,
        sync::Arc,
    },
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        Recipients, StoreRole, WantedLinks,
        fleet::{EngineGroup, Frame, HeartbeatFrame},
    },
};

/// Time between looks for news that peers are told, in ms. News 20 ms old costs placement nothing
/// that can be measured; news 100 ms old does.
const NEWS_MS: u64 = 20;
/// Time between looks for what time alone decides, in ms.
const TICK_MS: u64 = 250;
/// Time between looks for links that are missing while an instance starts, in ms.
const STARTING_LOOK_MS: u64 = 50;
/// A gap between two ticks after which the process is taken to have been paused, in ms.
const PAUSE_MS: u64 = 700;

/// What keeps links and tells news.
struct Keeper {
    state: Arc<EntryState>,
    /// The peers that know this instance's prompts, and on which groups of engines.
    informed: BTreeMap<SocketAddr, Vec<EngineGroup>>,
    wanted: WantedLinks,
    is_hub: bool,
    /// Whether this instance goes by a relay, as the log has it.
    is_relayed: bool,
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
        is_relayed: false,
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
        if now >= next_beat || state.serving().is_heartbeat_due() {
            keeper.beat(now);
            next_beat = now + state.serving().heartbeat_interval_ms();
        }
    }
}

fn notice_pause(state: &EntryState, now: MonoMs, last: MonoMs) {
    let paused_ms = now.since(last);
    if paused_ms > PAUSE_MS {
        state.serving().on_process_resumed(now);
        state.log(&Decision::Woke { paused_ms });
    }
}

impl Keeper {
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
        serving.set_seeds(&seeds);
        serving.tick(now);
        let roster = serving.roster_news(now);
        let (is_hub, peers) = (serving.is_hub(), serving.live_peer_count(now));
        let duty = serving.store_role(now);
        drop(serving);
        if std::mem::replace(&mut self.is_hub, is_hub) != is_hub {
            state.log(&Decision::Hub { is_hub, peers });
        }
        state.pool.forget_old(now);
        self.note_duty(duty);
        self.tell_all(roster);
        self.look_for_links(now);
        self.ask_for_missing(now);
    }

    /// Closes links that aren't wanted any more and opens those that are missing. Returns the peers
    /// to which there was one before.
    fn open_missing(&self, now: MonoMs) -> HashSet<SocketAddr> {
        let state = &self.state;
        let wanted = |address: &SocketAddr| {
            self.wanted.own.contains(address) || self.wanted.requested.contains(address)
        };
        let linked = state.links.retain(wanted);
        let own = self.wanted.own.iter().map(|address| (*address, true));
        let asked = self
            .wanted
            .requested
            .iter()
            .map(|address| (*address, false));
        for (address, asks_for_link) in own.chain(asked) {
            if let Some(queue) = state.links.open(address) {
                let first = state.serving().greeting(now, address, asks_for_link);
                task::spawn(keep_link(Arc::clone(state), address, first, queue));
            }
        }
        linked
    }

    /// Tells those that are to know of prompts, and didn't so far, what is at work.
    fn inform(&mut self, now: MonoMs, linked: &HashSet<SocketAddr>) {
        let mut wanted = self.state.serving().informed_deciders();
        wanted.retain(|address, _| linked.contains(address));
        for (address, groups) in &wanted {
            if self.informed.get(address) != Some(groups) {
                let jobs = self.state.serving().job_snapshot(now, groups);
                self.state.send(&[*address], &jobs);
            }
        }
        self.informed = wanted;
    }

    fn ask_for_missing(&self, now: MonoMs) {
        let wants = self.state.serving().catch_up_request(now);
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
                Recipients::Peers(to) => self.state.send(&to, &frame),
            }
        }
    }

    /// Passes on what is published to those that go by this instance.
    fn pass_on(&self, now: MonoMs) {
        let state = &self.state;
        if !state.serving().has_followers() {
            return;
        }
        let is_linked = |to: &SocketAddr| state.links.has(*to);
        let news = state.serving().relay_news(now, is_linked);
        for (to, frame) in news {
            state.metrics.note_passed_on(frame.targets.len() * to.len());
            state.send(&to, &frame);
        }
    }

    /// Logs when this instance begins or ceases to go by a relay.
    fn note_duty(&mut self, duty: StoreRole) {
        let state = &self.state;
        let line = match duty {
            StoreRole::Follow(relay) => {
                state.metrics.note_knowledge_age(relay.age_ms);
                Decision::Relayed {
                    relay: relay.address.to_string(),
                    revision: relay.revision,
                    age_ms: relay.age_ms,
                }
            }
            StoreRole::Watch | StoreRole::StandIn { .. } => Decision::RelayLost {
                duty: duty.name(),
                known_to: state.serving().complete_revision(),
            },
        };
        let is_relayed = matches!(duty, StoreRole::Follow(_));
        if std::mem::replace(&mut self.is_relayed, is_relayed) != is_relayed {
            state.log(&line);
        }
    }

    /// Sends a heartbeat over all links; to those that this instance wants itself, it says so, and to its
    /// relays what it knows.
    fn beat(&self, now: MonoMs) {
        let mut heartbeat = self.state.serving().heartbeat(now);
        let asked: Vec<SocketAddr> = self.wanted.requested.iter().copied().collect();
        self.state.send(&asked, &heartbeat);
        let Some(beat) = heartbeat.heartbeat else {
            return;
        };
        let follows = self.state.serving().follow_requests(now);
        let mut own: Vec<SocketAddr> = self.wanted.own.iter().copied().collect();
        own.retain(|address| follows.iter().all(|(relay, _)| relay != address));
        let beat = HeartbeatFrame {
            requests_link: true,
            ..beat
        };
        heartbeat.heartbeat = Some(beat);
        self.state.send(&own, &heartbeat);
        for (relay, follow) in follows {
            let follows = Some(follow);
            heartbeat.heartbeat = Some(HeartbeatFrame {
                follow_request: follows,
                ..beat
            });
            self.state.send(&[relay], &heartbeat);
        }
    }
}
