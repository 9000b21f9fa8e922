//! What instances tell each other.

use {
    super::Serving,
    crate::{
        catalog::{Configuration, EngineSpec},
        fleet::{
            CatchUpRequest, Crash, EnginePace, Frame, HeartbeatFrame, JobId, Member, PlacedPrompt,
            Roster,
        },
        mechanism::Mechanism,
        names::TargetId,
        relays::KnownState,
        retries::Fingerprint,
        targets::{AddressTakeover, TargetChange, TargetEntry, TargetLimit},
    },
    std::{cmp::Reverse, net::SocketAddr},
    whinlatch_core::MonoMs,
};

/// Time after which an instance that lacks what a peer knows takes its own way to the store to be
/// out of order, in ms: the store tells all of a change within some ten, and instances let changes
/// gather for a quarter of a second.
const BEHIND_MS: u64 = 600;
/// Peers that are asked at once for what is lacking.
const ASKED_PEERS: usize = 2;

/// What a peer knew first.
#[derive(Debug, Clone, Copy)]
pub struct PeerLag {
    extent: KnownState,
    since: MonoMs,
}

/// What all instances are to know at once.
struct Warnings {
    crashes: Vec<Crash>,
    served: Vec<Fingerprint>,
    unreachable: Vec<TargetId>,
    leaving: Vec<TargetId>,
    limits: Vec<TargetLimit>,
    displaced: Vec<AddressTakeover>,
}

fn keep<T>(mut told: Vec<T>, is_news: impl FnMut(&T) -> bool) -> Vec<T> {
    told.retain(is_news);
    told
}

impl Serving {
    /// Takes in the pace that an engine reports of itself.
    pub fn apply_reported_pace(&mut self, now: MonoMs, engine: &TargetEntry, pace: f64) {
        if !self.without.has(Mechanism::ReportedPace) {
            return;
        }
        let Some(spec) = self.spec_of_service(&engine.service) else {
            return;
        };
        if self.engines.apply_pace(now, &spec, &engine.id, pace) {
            let id = engine.id.clone();
            let group = self.groups.group_of(&id);
            self.news.of(group).paces.push(EnginePace { id, pace });
        }
    }

    /// Notes since when a peer knows something published that this instance doesn't.
    ///
    /// Guards against changes that come one after the other: some peer has always just heard of one more, so
    /// that only what this instance still lacks of what was known then counts.
    pub(super) fn detect_lag(&mut self, now: MonoMs) {
        let extent = self.newest_known();
        let first_ahead = self.peers_ahead(now).next().map(|member| PeerLag {
            extent: KnownState {
                revision: member.revision,
                version: member.version,
            },
            since: now,
        });
        let known_before = self
            .behind
            .filter(|behind| first_ahead.is_some() && !extent.covers(&behind.extent));
        self.behind = known_before.or(first_ahead);
    }

    fn newest_known(&self) -> KnownState {
        KnownState {
            revision: self.targets.revision(),
            version: self.version(),
        }
    }

    fn peers_ahead(&self, now: MonoMs) -> impl Iterator<Item = &Member> {
        let (version, revision) = (self.version(), self.targets.revision());
        self.members
            .live_members(now)
            .filter(move |member| member.version > version || member.revision > revision)
    }

    /// Whether peers have known something published for so long that this instance's own way to
    /// the store must be out of order, however it looks.
    pub fn is_lagging(&self, now: MonoMs) -> bool {
        self.behind.is_some_and(|behind| {
            let still_lacks = !self.newest_known().covers(&behind.extent);
            still_lacks && now.since(behind.since) >= BEHIND_MS
        })
    }

    /// What to ask peers for, and which ones, if this instance is behind them.
    ///
    /// Guards against a store that turns this instance away, or a connection to it that has gone
    /// silent, while it serves the others: targets that leave would get requests, and keys that
    /// were taken away would count.
    pub fn catch_up_request(&self, now: MonoMs) -> Option<(Vec<SocketAddr>, Frame)> {
        if !self.is_store_lost() && self.version() != 0 && !self.is_lagging(now) {
            return None;
        }
        // Those nearby first: bytes between failure domains cost, and take longer.
        let mut ahead: Vec<&Member> = self.peers_ahead(now).collect();
        ahead.sort_by_key(|member| {
            let is_far = member.failure_domain != self.own.failure_domain;
            (is_far, Reverse(member.cpu_millis))
        });
        let peers: Vec<SocketAddr> = ahead
            .iter()
            .map(|member| member.peer_address)
            .take(ASKED_PEERS)
            .collect();
        let wants = CatchUpRequest {
            reply_to: self.own.peer_address,
            known: self.known_state(),
        };
        let frame = Frame {
            catch_up_request: Some(wants),
            ..Frame::default()
        };
        (!peers.is_empty()).then_some((peers, frame))
    }

    /// Takes in what a peer tells. `decode` reads a published configuration. Returns the changes of targets
    /// that are news.
    pub fn on_frame(
        &mut self,
        now: MonoMs,
        from: u64,
        frame: Frame,
        decode: impl Fn(&str) -> Option<Configuration>,
    ) -> Vec<TargetChange> {
        if let Some(member) = frame.member {
            self.apply_member(now, member);
        }
        let address = self.members.record_frame(now, from);
        if let Some(address) = address {
            self.apply_heartbeat(now, address, frame.heartbeat, frame.roster);
        }
        let own = self.own.peer_address;
        self.members.add_learned_addresses(now, own, &frame.peers);
        if let Some(published) = frame.configuration
            && published.version > self.version()
            && let Some(configuration) = decode(&published.text)
        {
            self.activate_configuration(configuration, published.text);
        }
        let changes = match (frame.relay_status, address) {
            (Some(word), Some(relay)) => self.apply_relay_status(now, relay, &word, frame.targets),
            (Some(_), None) => Vec::new(),
            (None, _) => self.apply_changes(now, frame.targets),
        };
        let warnings = Warnings {
            crashes: frame.crashes,
            served: frame.served,
            unreachable: frame.unreachable,
            leaving: frame.leaving,
            limits: frame.limits,
            displaced: frame.displaced,
        };
        self.apply_warnings(now, warnings);
        for seen in &frame.paces {
            if let Some(spec) = self.spec_of_target(&seen.id) {
                self.engines.apply_pace(now, &spec, &seen.id, seen.pace);
            }
        }
        if frame.is_snapshot {
            let kept: Vec<JobId> = frame.placed.iter().map(|placed| placed.job).collect();
            self.engines.remove_run(from, &kept);
        }
        if !frame.placed.is_empty() {
            self.heard_at = Some(now);
        }
        for placed in frame.placed {
            if let Some(spec) = self.spec_of(&placed) {
                self.add_placed_job(now, &spec, placed);
            }
        }
        for job in frame.started {
            self.apply_first_event(now, job);
        }
        for job in frame.failed {
            self.engines.record_failure(now, job);
        }
        for job in frame.ended {
            self.engines.remove_job(job);
        }
        changes
    }

    /// Takes in changes of targets. Returns those that are news.
    pub(super) fn apply_changes(
        &mut self,
        now: MonoMs,
        changes: Vec<TargetChange>,
    ) -> Vec<TargetChange> {
        keep(changes, |change| {
            self.targets.apply_peer_change(now, change)
        })
    }

    fn apply_member(&mut self, now: MonoMs, member: Member) {
        let is_news = self.members.has_changed(&member);
        if let Some(former) = self.members.apply_member(now, member) {
            self.engines.remove_run(former, &[]);
        }
        if is_news {
            self.is_roster_due = true;
            self.update_ranks(now);
        }
    }

    fn apply_heartbeat(
        &mut self,
        now: MonoMs,
        from: SocketAddr,
        beat: Option<HeartbeatFrame>,
        roster: Option<Roster>,
    ) {
        if let Some(beat) = beat {
            self.members.apply_heartbeat(now, from, beat);
            if let Some(follow) = beat.follow_request {
                self.followers.apply_follow_request(now, from, follow);
            }
        }
        let Some(roster) = roster else {
            return;
        };
        let own = self.own.peer_address;
        for former in self.members.apply_roster(now, own, from, roster) {
            self.engines.remove_run(former, &[]);
        }
        self.update_ranks(now);
    }

    /// Takes in requests that break their targets or don't, and targets that can't be reached. A hub
    /// passes on what is new, since not all instances link to each other: such a request may come to
    /// any instance next, and any instance may have streams at such a target.
    fn apply_warnings(&mut self, now: MonoMs, told: Warnings) {
        let new = Warnings {
            crashes: keep(told.crashes, |crash| self.crashes.record_crash(now, crash)),
            served: keep(told.served, |request| self.crashes.record_served(*request)),
            unreachable: keep(told.unreachable, |id| {
                self.calls.record_unreachable(now, id)
            }),
            leaving: keep(told.leaving, |run| self.targets.record_leaving(now, run)),
            limits: keep(told.limits, |limit| {
                self.notices.apply_peer_limit(now, limit)
            }),
            displaced: keep(told.displaced, |entry| self.targets.apply_takeover(entry)),
        };
        if self.is_hub() {
            let news = self.news.for_all();
            news.crashes.extend(new.crashes);
            news.served.extend(new.served);
            news.unreachable.extend(new.unreachable);
            news.leaving.extend(new.leaving);
            news.limits.extend(new.limits);
            news.displaced.extend(new.displaced);
        }
    }

    pub(super) fn spec_of(&self, placed: &PlacedPrompt) -> Option<EngineSpec> {
        self.spec_of_target(placed.engines.first()?)
    }

    fn spec_of_target(&self, target: &str) -> Option<EngineSpec> {
        self.spec_of_service(&self.targets.entry(target)?.service)
    }

    pub(super) fn spec_of_service(&self, service: &str) -> Option<EngineSpec> {
        self.configuration.as_ref()?.service(service)?.engine
    }

    pub(super) fn apply_first_event(&mut self, now: MonoMs, job: JobId) {
        let Some(spec) = self
            .engines
            .job(job)
            .and_then(|job| self.spec_of(&job.placed))
        else {
            return;
        };
        self.engines.record_first_event(now, &spec, job);
    }
}
