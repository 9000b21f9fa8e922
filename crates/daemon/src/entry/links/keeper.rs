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
        Heartbeat, HeartbeatReach, Recipients, StoreRole, WantedLinks,
        fleet::{EngineGroup, Frame, HeartbeatFrame},
    },
};

/// Time between two sends of news to peers, in ms. News 20 ms old has no measurable effect on placement; news
/// 100 ms old has.
const NEWS_INTERVAL_MS: u64 = 20;
/// Time between two evaluations of what depends on time alone, such as expiry, in ms.
const TICK_INTERVAL_MS: u64 = 250;
/// Time between two checks for missing links while an instance starts, in ms.
const STARTING_LINK_CHECK_INTERVAL_MS: u64 = 50;
/// Gap between two iterations above which the process is taken to have been paused by its host, in ms.
const MIN_PROCESS_PAUSE_MS: u64 = 700;

/// Maintains the links to peers and sends news on them.
struct LinkKeeper {
    state: Arc<EntryState>,
    /// Deciders that have this instance's prompts, with the groups of engines whose prompts they have.
    informed: BTreeMap<SocketAddr, Vec<EngineGroup>>,
    /// Links that this instance needs and those that peers request, as of the last check.
    wanted: WantedLinks,
    /// Whether this instance is a hub, as last logged.
    is_hub: bool,
    /// Whether this instance follows a relay, as last logged.
    follows_relay: bool,
}

/// Maintains links to peers and sends them news, forever.
pub async fn keep_links(state: Arc<EntryState>) {
    let mut next_heartbeat_at = state.now();
    let mut next_tick_at = state.now();
    let mut next_link_check_at = state.now();
    let mut last = state.now();
    let mut keeper = LinkKeeper {
        state: Arc::clone(&state),
        informed: BTreeMap::new(),
        wanted: WantedLinks::default(),
        is_hub: false,
        follows_relay: false,
    };
    loop {
        state.clock.sleep(NEWS_INTERVAL_MS).await;
        let now = state.now();
        detect_pause(&state, now, last);
        last = now;
        if now >= next_tick_at {
            next_tick_at = now + TICK_INTERVAL_MS;
            keeper.tick(now);
        }
        if state.is_starting() && now >= next_link_check_at {
            next_link_check_at = now + STARTING_LINK_CHECK_INTERVAL_MS;
            keeper.update_links(now);
        }
        keeper.send_news();
        keeper.send_relay_updates(now);
        keeper.send_due_roster(now);
        if now >= next_heartbeat_at || state.serving().is_heartbeat_due() {
            keeper.send_heartbeat(now);
            next_heartbeat_at = now + state.serving().heartbeat_interval_ms();
        }
    }
}

fn detect_pause(state: &EntryState, now: MonoMs, last: MonoMs) {
    let paused_ms = now.since(last);
    if paused_ms > MIN_PROCESS_PAUSE_MS {
        state.serving().on_process_resumed(now);
        state.log(&Decision::ProcessResumed { paused_ms });
    }
}

impl LinkKeeper {
    /// Opens missing links, and sends running prompts to the deciders that are linked by now.
    fn update_links(&mut self, now: MonoMs) {
        self.wanted = self.state.serving().wanted_links(now);
        let linked = self.open_missing(now);
        self.send_job_snapshots(now, &linked);
    }

    fn tick(&mut self, now: MonoMs) {
        let state = &self.state;
        let seeds = state.seed_peers();
        let mut serving = state.serving();
        serving.set_seeds(&seeds);
        let confirmed = serving.tick(now);
        let roster = serving.roster_news(now);
        let (is_hub, peers) = (serving.is_hub(), serving.live_peer_count(now));
        let role = serving.store_role(now);
        drop(serving);
        for removal in &confirmed {
            state.log(&Decision::target(removal, "grace"));
        }
        if std::mem::replace(&mut self.is_hub, is_hub) != is_hub {
            state.log(&Decision::Hub { is_hub, peers });
        }
        state.pool.evict_expired(now);
        self.log_store_role(role);
        self.send_all(roster);
        self.update_links(now);
        self.request_missing_state(now);
    }

    /// Closes links that are no longer needed and opens missing ones. Returns the peers that were linked
    /// before.
    fn open_missing(&self, now: MonoMs) -> HashSet<SocketAddr> {
        let state = &self.state;
        let wanted = |address: &SocketAddr| {
            self.wanted.own.contains(address) || self.wanted.requested.contains(address)
        };
        let linked = state.links.retain(wanted);
        let own = self.wanted.own.iter().map(|address| (*address, true));
        let requested = self
            .wanted
            .requested
            .iter()
            .map(|address| (*address, false));
        for (address, requests_link) in own.chain(requested) {
            if let Some(queue) = state.links.open(address) {
                let first = state.serving().greeting(now, address, requests_link);
                task::spawn(keep_link(Arc::clone(state), address, first, queue));
            }
        }
        linked
    }

    /// Sends the running prompts to deciders that don't have them yet.
    fn send_job_snapshots(&mut self, now: MonoMs, linked: &HashSet<SocketAddr>) {
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

    fn request_missing_state(&self, now: MonoMs) {
        let request = self.state.serving().catch_up_request(now);
        if let Some((peers, frame)) = request {
            self.state.send(&peers, &frame);
        }
    }

    fn send_due_roster(&self, now: MonoMs) {
        let news = {
            let mut serving = self.state.serving();
            if !serving.is_roster_due() {
                return;
            }
            serving.roster_news(now)
        };
        self.send_all(news);
    }

    fn send_news(&self) {
        let news = self.state.serving().take_news();
        self.send_all(news);
    }

    fn send_all(&self, news: Vec<(Recipients, Frame)>) {
        for (recipients, frame) in news {
            match recipients {
                Recipients::All => self.state.send_to_all(&frame),
                Recipients::Peers(to) => self.state.send(&to, &frame),
            }
        }
    }

    /// Sends changes of the published state to the followers of this instance.
    fn send_relay_updates(&self, now: MonoMs) {
        let state = &self.state;
        if !state.serving().has_followers() {
            return;
        }
        let is_linked = |to: &SocketAddr| state.links.has(*to);
        let news = state.serving().relay_news(now, is_linked);
        for (to, frame) in news {
            state
                .metrics
                .record_relayed_changes(frame.targets.len() * to.len());
            state.send(&to, &frame);
        }
    }

    /// Logs when this instance begins or ceases to follow a relay, and records the age of the relay's status.
    fn log_store_role(&mut self, role: StoreRole) {
        let state = &self.state;
        let line = match role {
            StoreRole::Follow(relay) => {
                state.metrics.record_knowledge_age(relay.age_ms);
                Decision::Relayed {
                    relay: relay.address.to_string(),
                    revision: relay.revision,
                    age_ms: relay.age_ms,
                }
            }
            StoreRole::Watch | StoreRole::StandIn { .. } => Decision::RelayLost {
                role: role.name(),
                known_to: state.serving().complete_revision(),
            },
        };
        let follows_relay = matches!(role, StoreRole::Follow(_));
        if std::mem::replace(&mut self.follows_relay, follows_relay) != follows_relay {
            state.log(&line);
        }
    }

    /// Sends a heartbeat over the links that it reaches. Peers whose link this instance needs itself get `requests_link`
    /// set, and its relays, which always get one, also a follow request with the revision that it knows.
    fn send_heartbeat(&self, now: MonoMs) {
        let mut serving = self.state.serving();
        let Heartbeat { mut frame, reach } = serving.heartbeat(now, self.state.is_starting());
        let is_reached = |peer: &&SocketAddr| match reach {
            HeartbeatReach::AllLinks => true,
            HeartbeatReach::HubLinks => serving.is_hub_link(**peer),
        };
        let requested = self.wanted.requested.iter().filter(is_reached);
        let requested: Vec<SocketAddr> = requested.copied().collect();
        let own = self.wanted.own.iter().filter(is_reached);
        let mut own: Vec<SocketAddr> = own.copied().collect();
        let follows = serving.follow_requests(now);
        let call_report = serving.call_report();
        drop(serving);
        self.send_all(call_report.into_iter().collect());
        self.state.send(&requested, &frame);
        let Some(fields) = frame.heartbeat else {
            return;
        };
        own.retain(|address| follows.iter().all(|(relay, _)| relay != address));
        let fields = HeartbeatFrame {
            requests_link: true,
            ..fields
        };
        frame.heartbeat = Some(fields);
        self.state.send(&own, &frame);
        for (relay, follow) in follows {
            let follow_request = Some(follow);
            frame.heartbeat = Some(HeartbeatFrame {
                follow_request,
                ..fields
            });
            self.state.send(&[relay], &frame);
        }
    }
}
