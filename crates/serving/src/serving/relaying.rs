//! Roles of instances towards the store, and what relays pass on to their followers.

use {
    super::Serving,
    crate::{
        fleet::{CatchUpRequest, Frame},
        relays::{FollowRequest, KnownState, Relay, RelayStatus},
        targets::{PublishedChanges, TargetChange},
    },
    std::net::SocketAddr,
    whinlatch_core::MonoMs,
};

/// Number of relays that an instance follows in its failure domain: one sends it each change, the other
/// takes over when that one dies.
const RELAYS: usize = 2;
/// Number of instances of a failure domain, the strongest first, that try to read the store before it is
/// considered to refuse the whole domain. Each of them calls an unreachable store several times a second.
const RELAY_CANDIDATES: usize = 4;
/// Time without an answer of the store after which a relay reports that the store is lost, in ms: a few
/// attempts.
const STORE_LOSS_TIMEOUT_MS: u64 = 600;
/// Longest random delay before an instance whose relays fell silent calls the store, in ms: it spreads the
/// instances, and is short enough for a target that leaves meanwhile.
const STAND_IN_SPREAD_MS: u64 = 150;
/// The same if the store doesn't answer the relays either, in ms. It is likely to be down for all.
const LOST_SPREAD_MS: u64 = 2_000;
/// Time that a call of the store takes, with a new connection, in ms.
const CALL_MARGIN_MS: u64 = 200;

/// Role of an instance towards the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRole {
    /// It reads the store and its changes, for itself and its followers.
    Watch,
    /// It receives the content of the store from a relay.
    Follow(Relay),
    /// It has no fresh status from any relay, so it reads the store itself.
    StandIn {
        /// Whether the store doesn't answer its relays either.
        is_store_lost: bool,
    },
}

impl StoreRole {
    /// Returns the role's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Follow(_) => "follow",
            Self::StandIn { .. } => "stand_in",
        }
    }
}

impl Serving {
    /// Returns whether any instance follows this one.
    pub fn has_followers(&self) -> bool {
        !self.followers.is_empty()
    }

    /// Returns the role of this instance towards the store now. In a small fleet every instance reads the
    /// store.
    pub fn store_role(&self, now: MonoMs) -> StoreRole {
        let is_relay = !self.followers.is_empty() || self.is_reader(now);
        if !self.members.is_large() || is_relay {
            return StoreRole::Watch;
        }
        match self.followed_relays.freshest(now) {
            Some(relay) => StoreRole::Follow(relay),
            None => StoreRole::StandIn {
                is_store_lost: self.followed_relays.is_store_lost(now),
            },
        }
    }

    /// Returns whether this instance has no fresh status since the store doesn't answer its relays.
    pub(super) fn are_relays_refused(&self, now: MonoMs) -> bool {
        let role = self.store_role(now);
        matches!(role, StoreRole::StandIn { is_store_lost } if is_store_lost)
    }

    /// Returns the longest random delay before this instance calls the store in place of its relays, in ms.
    ///
    /// Guards against an instance that the store would answer, and that waits for relays which the store refuses until
    /// it can't tell any more whether a removed entry has expired.
    pub fn stand_in_spread_ms(&self, now: MonoMs) -> u64 {
        if !self.are_relays_refused(now) {
            return STAND_IN_SPREAD_MS;
        }
        let deadline = self.targets.expiry_deadline();
        let left_ms = deadline.map_or(LOST_SPREAD_MS, |deadline| deadline.since(now));
        left_ms
            .saturating_sub(CALL_MARGIN_MS)
            .clamp(STAND_IN_SPREAD_MS, LOST_SPREAD_MS)
    }

    /// Returns the instances of this failure domain that should read the store, which may include this one.
    pub(super) fn readers(&self, now: MonoMs) -> impl Iterator<Item = SocketAddr> {
        let candidates = self
            .members
            .ranks()
            .in_own_domain()
            .iter()
            .take(RELAY_CANDIDATES);
        candidates
            .filter(move |address| self.followed_relays.may_read(now, **address))
            .take(RELAYS)
            .copied()
    }

    pub(super) fn is_reader(&self, now: MonoMs) -> bool {
        self.readers(now)
            .any(|address| address == self.own.peer_address)
    }

    /// Returns the relays that this instance follows, and the request that its heartbeats carry to each.
    /// Only the first relay is requested to send each change.
    pub fn follow_requests(&self, now: MonoMs) -> Vec<(SocketAddr, FollowRequest)> {
        if !self.members.is_large() || self.is_reader(now) {
            return Vec::new();
        }
        let known = self.known_state();
        let follow = |requests_changes| FollowRequest {
            known,
            requests_changes,
        };
        self.readers(now)
            .enumerate()
            .map(|(index, relay)| (relay, follow(index == 0)))
            .collect()
    }

    /// Returns the revision and version up to which this instance knows all published state.
    pub(super) fn known_state(&self) -> KnownState {
        let complete_revision = self.followed_relays.complete_revision().unwrap_or(0);
        KnownState {
            revision: self.targets.confirmed_revision(complete_revision),
            version: self.version(),
        }
    }

    /// Returns the revision up to which this instance knows all published changes, from the store or from
    /// relays; `None` before it first received them all.
    pub fn complete_revision(&self) -> Option<u64> {
        self.followed_relays.complete_revision()
    }

    /// Returns whether this instance reads the store only in case that the first relay of its failure domain fails.
    pub fn is_standby_relay(&self, now: MonoMs) -> bool {
        let first = self.readers(now).next();
        self.members.is_large() && self.is_reader(now) && first != Some(self.own.peer_address)
    }

    /// Records that this instance has read all published changes up to a revision of the store.
    pub fn mark_complete_at(&mut self, now: MonoMs, revision: u64) {
        self.followed_relays.mark_complete_at(revision);
        self.read_at = Some(now);
        self.followers.schedule_update();
    }

    /// Evicts expired relays and followers. Excludes this instance from the relays if the store doesn't answer it.
    pub(super) fn tick_relays(&mut self, now: MonoMs) {
        self.followers.evict_expired(now);
        self.followed_relays.evict_expired(now);
        let own = self.own.peer_address;
        let is_store_lost = self
            .store_lost_since
            .is_some_and(|since| now.since(since) >= STORE_LOSS_TIMEOUT_MS);
        if is_store_lost && self.followed_relays.may_read(now, own) {
            self.followed_relays.exclude(now, own);
            self.followers.schedule_update();
        }
    }

    /// Applies a relay's status and the changes that came with it. Returns the changes that take effect.
    pub(super) fn apply_relay_status(
        &mut self,
        now: MonoMs,
        from: SocketAddr,
        status: &RelayStatus,
        changes: PublishedChanges,
    ) -> PublishedChanges {
        if !status.covers_evacuations {
            // It can't confirm that all is known, so this instance goes on reading the store itself.
            return self.apply_changes(now, changes);
        }
        let applied = match status.since {
            _ if !self.followed_relays.is_contiguous(status) => PublishedChanges::default(),
            None => self
                .targets
                .apply_peer_snapshot(now, status.known.revision, changes),
            Some(_) => self.apply_changes(now, changes),
        };
        let version = self.version();
        let is_confirmed = self
            .followed_relays
            .apply_status(now, from, status, version);
        if is_confirmed {
            let answered_at = MonoMs(now.0.saturating_sub(status.age_ms));
            if status.is_settled {
                self.targets.record_settled_answer(answered_at);
                self.note_settled_revision(status.known.revision);
            } else {
                self.targets.record_store_answer(answered_at);
            }
        }
        applied
    }

    /// Returns the frames to send to linked followers: missing changes, or just this instance's status.
    /// Empty until it has received the complete published state once.
    pub fn relay_news(
        &mut self,
        now: MonoMs,
        is_linked: impl Fn(&SocketAddr) -> bool,
    ) -> Vec<(Vec<SocketAddr>, Frame)> {
        let Some(status) = self.relay_status(now) else {
            return Vec::new();
        };
        let update = self.followers.next_update(now, status.known, is_linked);
        let mut news: Vec<(Vec<SocketAddr>, Frame)> = Vec::new();
        for (known, to) in update.lagging {
            news.push((to, self.missing_state(known, Some(status))));
        }
        if !update.changes_to.is_empty() {
            news.push((
                update.changes_to,
                self.missing_state(update.previous, Some(status)),
            ));
        }
        if !update.status_to.is_empty() {
            news.push((update.status_to, status_frame(status)));
        }
        news
    }

    /// Returns the revision up to which this instance knows all removals to be those of targets that have left; `None` if
    /// it can't tell, or if it is one of many from which peers don't need to hear that.
    pub(super) fn settled_revision_to_report(&self, now: MonoMs) -> Option<u64> {
        let is_heard = !self.members.is_large() || self.is_hub();
        let is_settled = is_heard && self.targets.is_settled(now);
        is_settled.then(|| self.known_state().revision)
    }

    /// Records that a settled peer knows all removals up to a revision to be those of targets that have left.
    pub(super) fn note_settled_revision(&mut self, revision: u64) {
        self.settled_revision = self.settled_revision.max(revision);
    }

    /// Applies the unconfirmed removals that settled peers know to be those of targets that have left, once this instance
    /// knows all that they knew: a later entry of such a target would otherwise be missing. Returns those that take
    /// effect.
    pub(super) fn confirm_settled_removals(&mut self, now: MonoMs) -> Vec<TargetChange> {
        let settled_revision = self.settled_revision;
        if self.complete_revision() < Some(settled_revision) {
            return Vec::new();
        }
        let confirmed = self.targets.confirm_removals_up_to(now, settled_revision);
        if !confirmed.is_empty() {
            self.followers.schedule_update();
        }
        confirmed
    }

    /// Returns this instance's status as a relay; `None` if it never received the complete published state.
    fn relay_status(&self, now: MonoMs) -> Option<RelayStatus> {
        let followed = self.followed_relays.freshest(now);
        let relayed_as_of = followed.map(|relay| MonoMs(now.0.saturating_sub(relay.age_ms)));
        let as_of = self.read_at.max(relayed_as_of)?;
        let known = self.known_state();
        Some(RelayStatus {
            is_settled: self.targets.is_settled(now),
            covers_evacuations: true,
            known,
            age_ms: now.since(as_of),
            since: Some(known.revision),
            is_store_lost: !self.followed_relays.may_read(now, self.own.peer_address),
        })
    }

    /// Returns the state that a lagging peer lacks.
    pub fn catch_up_response(&self, now: MonoMs, request: &CatchUpRequest) -> Frame {
        self.missing_state(request.known, self.relay_status(now))
    }

    /// Returns the state that a peer lacks beyond what it knows, with a status that confirms the rest, if
    /// this instance has one.
    fn missing_state(&self, known: KnownState, status: Option<RelayStatus>) -> Frame {
        let has_removals = known.revision > 0 && self.targets.has_removals_since(known.revision);
        // A list of all targets implies removals by what it omits, which is valid only with a status.
        let since = (has_removals || status.is_none()).then_some(known.revision);
        let published = self.published.clone();
        let changes = match since {
            Some(since) => self.targets.changes_after(since),
            None => self.targets.all(),
        };
        Frame {
            relay_status: status.map(|status| RelayStatus { since, ..status }),
            configuration: published.filter(|published| published.version > known.version),
            targets: changes.targets,
            evacuations: changes.evacuations,
            ..Frame::default()
        }
    }
}

/// Returns a frame with a status and no changes, which followers that lack any ignore.
fn status_frame(status: RelayStatus) -> Frame {
    Frame {
        relay_status: Some(status),
        ..Frame::default()
    }
}
