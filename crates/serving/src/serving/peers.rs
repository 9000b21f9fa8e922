//! Frames from peers, and the state in which this instance lags behind them.

use {
    super::Serving,
    crate::{
        catalog::{Configuration, EngineSpec},
        fleet::{
            CatchUpRequest, Condemnation, Crash, EnginePace, Frame, HeartbeatFrame, JobId, Member,
            PartCrash, PlacedPrompt, Roster, SoundPart,
        },
        mechanism::Mechanism,
        names::TargetId,
        reach::ReachStatement,
        relays::KnownState,
        retries::Fingerprint,
        targets::{AddressTakeover, PublishedChanges, TargetEntry, TargetLimit},
    },
    std::{cmp::Reverse, net::SocketAddr},
    whinlatch_core::MonoMs,
};

/// Time for which an instance may lack what a peer knows before its own access to the store is considered
/// broken, in ms. The store delivers a change to all instances within some ten ms, and instances collect
/// changes for a quarter of a second.
const LAG_TIMEOUT_MS: u64 = 600;
/// Maximum number of peers to which one request for missing state is sent.
const MAX_CATCH_UP_PEERS: usize = 2;

/// State that a peer had before this instance, and when this was first noticed.
#[derive(Debug, Clone, Copy)]
pub struct PeerLag {
    peer_state: KnownState,
    since: MonoMs,
}

/// Notices that a hub passes on to all instances.
struct FleetNotices {
    crashes: Vec<Crash>,
    condemned: Vec<Condemnation>,
    part_crashes: Vec<PartCrash>,
    condemned_parts: Vec<Condemnation>,
    sound_parts: Vec<SoundPart>,
    served: Vec<Fingerprint>,
    unreachable: Vec<TargetId>,
    reach: Vec<ReachStatement>,
    leaving: Vec<TargetId>,
    limits: Vec<TargetLimit>,
    takeovers: Vec<AddressTakeover>,
}

/// Applies each item. Returns those that are new, for which `apply` returns true.
fn retain_new<T>(mut items: Vec<T>, apply: impl FnMut(&T) -> bool) -> Vec<T> {
    items.retain(apply);
    items
}

impl Serving {
    /// Applies the pace that an engine reports of itself, and queues it for the deciders of its group if it
    /// has changed.
    pub fn apply_reported_pace(&mut self, now: MonoMs, engine: &TargetEntry, pace: f64) {
        if !self.mechanisms.is_enabled(Mechanism::ReportedPace) {
            return;
        }
        let Some(spec) = self.spec_of_service(&engine.service) else {
            return;
        };
        if self.engines.apply_pace(now, &spec, &engine.id, pace) {
            let id = engine.id.clone();
            let group = self.groups.group_of(&id);
            self.news
                .for_group(group)
                .paces
                .push(EnginePace { id, pace });
        }
    }

    /// Tracks since when this instance lacks published state that a peer has.
    ///
    /// Guards against an instance that counts as lagging though it keeps up: in a steady stream of changes
    /// some peer always has one more. Only the state that a peer had when the lag was first noticed counts,
    /// and the lag ends once this instance has reached it.
    pub(super) fn detect_lag(&mut self, now: MonoMs) {
        let own_state = self.newest_state();
        let first_ahead = self.peers_ahead(now).next().map(|member| PeerLag {
            peer_state: KnownState {
                revision: member.revision,
                version: member.version,
            },
            since: now,
        });
        let ongoing = self
            .lag
            .filter(|lag| first_ahead.is_some() && !own_state.covers(&lag.peer_state));
        self.lag = ongoing.or(first_ahead);
    }

    /// Returns the newest revision and version that this instance has seen, not necessarily without gaps.
    fn newest_state(&self) -> KnownState {
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

    /// Returns whether this instance has lacked published state of its peers for so long that its own
    /// access to the store must be broken, even if calls seem to succeed.
    pub fn is_lagging(&self, now: MonoMs) -> bool {
        self.lag.is_some_and(|lag| {
            let still_lacks = !self.newest_state().covers(&lag.peer_state);
            still_lacks && now.since(lag.since) >= LAG_TIMEOUT_MS
        })
    }

    /// Returns a request for the state that this instance lacks, and the peers to which to send it, all of which it
    /// needs links to. It is made while the store doesn't answer, no configuration is known or this instance lags; `None`
    /// otherwise, or if no such peer is ahead.
    ///
    /// Guards against a store that refuses this instance, or a connection to it that has gone silent, while
    /// the store serves other instances: targets that leave would still get requests, and revoked keys
    /// would still be accepted.
    pub fn catch_up_request(&self, now: MonoMs) -> Option<(Vec<SocketAddr>, Frame)> {
        // The relays send the rest to all that wait for it at once.
        let is_lagging = self.is_lagging(now) && !self.awaits_rest();
        let is_store_lost = self.is_store_lost() || self.are_relays_refused(now);
        if !is_store_lost && self.version() != 0 && !is_lagging {
            return None;
        }
        let linked = self.wanted_links(now).own;
        let mut ahead: Vec<&Member> = self
            .peers_ahead(now)
            .filter(|member| linked.contains(&member.peer_address))
            .collect();
        // Peers of the own failure domain first: traffic between domains is charged and takes longer.
        ahead.sort_by_key(|member| {
            let is_far = member.failure_domain != self.own.failure_domain;
            (is_far, Reverse(member.cpu_millis))
        });
        let peers: Vec<SocketAddr> = ahead
            .iter()
            .map(|member| member.peer_address)
            .take(MAX_CATCH_UP_PEERS)
            .collect();
        let request = CatchUpRequest {
            reply_to: self.own.peer_address,
            known: self.known_state(),
        };
        let frame = Frame {
            catch_up_request: Some(request),
            ..Frame::default()
        };
        (!peers.is_empty()).then_some((peers, frame))
    }

    /// Applies a frame from the peer whose run is `from`. `decode` parses a published configuration.
    /// Returns the published changes that take effect.
    pub fn on_frame(
        &mut self,
        now: MonoMs,
        from: u64,
        frame: Frame,
        decode: impl Fn(&str) -> Option<Configuration>,
    ) -> PublishedChanges {
        if let Some(member) = frame.member {
            self.apply_member(now, member);
        }
        let address = self.members.record_frame(now, from);
        if let Some(address) = address {
            let roster = frame.roster_rows.map(Roster::from).or(frame.roster);
            self.apply_heartbeat(now, address, frame.heartbeat, roster);
        }
        let own = self.own.peer_address;
        self.members.add_learned_addresses(now, own, &frame.peers);
        if let Some(published) = frame.configuration
            && published.version > self.version()
            && let Some(configuration) = decode(&published.text)
        {
            self.activate_configuration(configuration, published.text);
        }
        let published = PublishedChanges {
            targets: frame.targets,
            evacuations: frame.evacuations,
        };
        let mut changes = match (frame.relay_status, address) {
            (Some(status), Some(relay)) => self.apply_relay_status(now, relay, &status, published),
            (Some(_), None) => PublishedChanges::default(),
            (None, _) => self.apply_changes(now, published),
        };
        changes.targets.extend(self.confirm_settled_removals(now));
        let notices = FleetNotices {
            crashes: frame.crashes,
            condemned: frame.condemned,
            part_crashes: frame.part_crashes,
            condemned_parts: frame.condemned_parts,
            sound_parts: frame.sound_parts,
            served: frame.served,
            unreachable: frame.unreachable,
            reach: frame.reach,
            leaving: frame.leaving,
            limits: frame.limits,
            takeovers: frame.takeovers,
        };
        self.apply_fleet_notices(now, notices);
        self.apply_call_reports(now, from, &frame.calls);
        self.apply_call_picture(now, address, frame.call_picture);
        for reported in &frame.paces {
            if let Some(spec) = self.spec_of_target(&reported.id) {
                self.engines
                    .apply_pace(now, &spec, &reported.id, reported.pace);
            }
        }
        if frame.is_snapshot {
            let kept: Vec<JobId> = frame.placed.iter().map(|placed| placed.job).collect();
            self.engines.remove_run(from, &kept);
        }
        if !frame.placed.is_empty() {
            self.last_peer_prompt_at = Some(now);
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

    /// Applies published changes from a peer. Returns those that take effect.
    pub(super) fn apply_changes(
        &mut self,
        now: MonoMs,
        changes: PublishedChanges,
    ) -> PublishedChanges {
        PublishedChanges {
            targets: retain_new(changes.targets, |change| {
                self.targets.apply_peer_change(now, change)
            }),
            evacuations: retain_new(changes.evacuations, |change| {
                self.targets.apply_evacuation(now, change)
            }),
        }
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
        heartbeat: Option<HeartbeatFrame>,
        roster: Option<Roster>,
    ) {
        if let Some(heartbeat) = heartbeat {
            self.members.apply_heartbeat(now, from, heartbeat);
            if let Some(revision) = heartbeat.settled_revision {
                self.note_settled_revision(revision);
            }
            if let Some(follow) = heartbeat.follow_request {
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

    /// Applies crashes, served requests and notices of targets. A hub passes on what is new, since not all
    /// instances link to each other: such a request may arrive at any instance next, and any instance may
    /// have streams at such a target.
    fn apply_fleet_notices(&mut self, now: MonoMs, notices: FleetNotices) {
        let own = self.own.peer_address;
        let new = FleetNotices {
            crashes: retain_new(notices.crashes, |crash| self.apply_crash(now, crash)),
            condemned: retain_new(notices.condemned, |stated| {
                self.apply_condemnation(now, stated)
            }),
            part_crashes: notices
                .part_crashes
                .into_iter()
                .filter_map(|crash| self.apply_part_crash(now, crash))
                .collect(),
            condemned_parts: retain_new(notices.condemned_parts, |stated| {
                self.apply_condemned_part(now, stated)
            }),
            sound_parts: retain_new(notices.sound_parts, |sound| {
                self.apply_sound_part(now, sound)
            }),
            served: retain_new(notices.served, |request| self.clear_request(now, *request)),
            unreachable: retain_new(notices.unreachable, |id| {
                self.calls.record_reported_unreachable(now, id)
            }),
            reach: retain_new(notices.reach, |statement| {
                statement.peer != own && self.peer_reach.apply(now, statement)
            }),
            leaving: retain_new(notices.leaving, |run| self.targets.record_leaving(now, run)),
            limits: retain_new(notices.limits, |limit| {
                self.notices.apply_peer_limit(now, limit)
            }),
            takeovers: retain_new(notices.takeovers, |entry| {
                self.targets.apply_takeover(entry)
            }),
        };
        // A peer has seen these targets die.
        for crash in &new.crashes {
            self.confirm_related(now, &crash.target);
        }
        for crash in &new.part_crashes {
            self.confirm_related(now, &crash.target);
        }
        if self.is_hub() {
            let news = self.news.for_all();
            news.crashes.extend(new.crashes);
            news.condemned.extend(new.condemned);
            news.part_crashes.extend(new.part_crashes);
            news.condemned_parts.extend(new.condemned_parts);
            news.sound_parts.extend(new.sound_parts);
            news.served.extend(new.served);
            news.unreachable.extend(new.unreachable);
            news.reach.extend(new.reach);
            news.leaving.extend(new.leaving);
            news.limits.extend(new.limits);
            news.takeovers.extend(new.takeovers);
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
