//! Who reads the store, and what is passed on to those that don't.

use {
    super::Serving,
    crate::{
        fleet::{CatchUpRequest, Frame},
        relays::{FollowRequest, KnownState, Relay, RelayStatus},
        targets::TargetChange,
    },
    std::net::SocketAddr,
    whinlatch_core::MonoMs,
};

/// Instances of a failure domain that an instance goes by: one tells it each change, the other takes
/// over when that one is gone.
const RELAYS: usize = 2;
/// Instances of a failure domain that are asked to read the store, in the order of their strength, before
/// all of them are taken to be turned away: each of them asks a store that is away several times a second.
const RELAY_CANDIDATES: usize = 4;
/// Time without an answer of the store after which a relay says so, in ms: a few tries.
const CUT_OFF_MS: u64 = 600;
/// Processor time from which an instance reads the store at once also when the system starts for the first
/// time, in thousandths of a core: such instances are the first that others go by.
const STRONG_CPU_MILLIS: u32 = 200;
/// Time that a weaker instance waits for its peers then, at least, in ms: the links of a fleet that starts as
/// a whole are open and relays known.
const FIRST_START_PATIENCE_MS: u64 = 1_000;
/// Time within which those that were told nothing by then read the store, one after the other, in ms.
const FIRST_START_SPREAD_MS: u64 = 500;

/// What an instance does about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRole {
    /// It watches the store, for itself and those that go by it.
    Watch,
    /// It goes by a relay.
    Follow(Relay),
    /// It has no fresh word from any relay and looks for itself.
    StandIn {
        /// Whether the store doesn't answer its relays either.
        is_store_lost: bool,
    },
}

impl StoreRole {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Follow(_) => "follow",
            Self::StandIn { .. } => "stand_in",
        }
    }
}

impl Serving {
    /// Whether any instance goes by this one.
    pub fn has_followers(&self) -> bool {
        !self.followers.is_empty()
    }

    /// What this instance does about the store now.
    pub fn store_role(&self, now: MonoMs) -> StoreRole {
        let is_relay = !self.followers.is_empty() || self.is_first_reader(now);
        if !self.members.is_large() || is_relay {
            return StoreRole::Watch;
        }
        match self.following.freshest(now) {
            Some(relay) => StoreRole::Follow(relay),
            None => StoreRole::StandIn {
                is_store_lost: self.following.is_store_lost(now),
            },
        }
    }

    /// The instances of this failure domain that are to read the store, this one possibly among them.
    fn readers(&self, now: MonoMs) -> impl Iterator<Item = SocketAddr> {
        let near = self
            .members
            .ranks()
            .in_own_domain()
            .iter()
            .take(RELAY_CANDIDATES);
        near.filter(move |address| self.following.may_read(now, **address))
            .take(RELAYS)
            .copied()
    }

    fn is_first_reader(&self, now: MonoMs) -> bool {
        self.readers(now)
            .any(|address| address == self.own.peer_address)
    }

    /// The relays that this instance goes by, and what it asks of each in a heartbeat; the first one is to
    /// tell it each change.
    pub fn follow_requests(&self, now: MonoMs) -> Vec<(SocketAddr, FollowRequest)> {
        if !self.members.is_large() || self.is_first_reader(now) {
            return Vec::new();
        }
        let known = self.known_state();
        let follow = |wants_changes| FollowRequest {
            known,
            wants_changes,
        };
        self.readers(now)
            .enumerate()
            .map(|(place, relay)| (relay, follow(place == 0)))
            .collect()
    }

    /// How far this instance's knowledge goes.
    pub(super) fn known_state(&self) -> KnownState {
        let known_to = self.following.known_to().unwrap_or(0);
        KnownState {
            revision: self.targets.confirmed_revision(known_to),
            version: self.version(),
        }
    }

    /// Revision up to which all that was published is known, read here or told.
    pub fn known_to(&self) -> Option<u64> {
        self.following.known_to()
    }

    /// How long an instance that starts waits to be told what is published before it reads it, in ms.
    ///
    /// Nobody waits but at the first start of the system, when no callers are there yet. After the loss of all
    /// instances reading takes a twentieth of a second, and finding each other half a second and more.
    pub fn start_patience_ms(&mut self, is_first_start: bool) -> u64 {
        if !is_first_start || self.own.cpu_millis >= STRONG_CPU_MILLIS {
            return 0;
        }
        FIRST_START_PATIENCE_MS + self.rng.u64(..FIRST_START_SPREAD_MS)
    }

    /// The store told all that was published up to a revision.
    pub fn mark_complete_at(&mut self, now: MonoMs, revision: u64) {
        self.following.mark_complete_at(revision);
        self.read_at = Some(now);
        self.followers.schedule_update();
    }

    /// Settles what time alone decides of who reads the store.
    pub(super) fn tick_relays(&mut self, now: MonoMs) {
        self.followers.evict_expired(now);
        self.following.evict_expired(now);
        let own = self.own.peer_address;
        let is_cut_off = self
            .cut_off_since
            .is_some_and(|since| now.since(since) >= CUT_OFF_MS);
        if is_cut_off && self.following.may_read(now, own) {
            self.following.exclude(now, own);
            self.followers.schedule_update();
        }
        // What is removed once the store is back may have lapsed only, whoever noticed its absence.
        let duty = self.store_role(now);
        if matches!(duty, StoreRole::StandIn { is_store_lost } if is_store_lost) {
            self.targets.store_failed();
        }
    }

    /// Takes in a relay's word with what came with it. Returns what is news.
    pub(super) fn apply_relay_status(
        &mut self,
        now: MonoMs,
        from: SocketAddr,
        word: &RelayStatus,
        targets: Vec<TargetChange>,
    ) -> Vec<TargetChange> {
        let news = match word.since {
            _ if !self.following.is_contiguous(word) => Vec::new(),
            None => self
                .targets
                .apply_peer_snapshot(now, word.known.revision, targets),
            Some(_) => self.apply_changes(now, targets),
        };
        let version = self.version();
        self.following.apply_status(now, from, word, version);
        if matches!(self.store_role(now), StoreRole::Follow(_)) {
            self.targets.store_answers(now);
        }
        news
    }

    /// What is to be sent to those that go by this instance and are linked.
    pub fn relay_news(
        &mut self,
        now: MonoMs,
        is_linked: impl Fn(&SocketAddr) -> bool,
    ) -> Vec<(Vec<SocketAddr>, Frame)> {
        let Some(word) = self.relay_status(now) else {
            return Vec::new();
        };
        let shipment = self.followers.next_update(now, word.known, is_linked);
        let mut news: Vec<(Vec<SocketAddr>, Frame)> = Vec::new();
        for (extent, to) in shipment.lagging {
            news.push((to, self.missing_state(extent, Some(word))));
        }
        if !shipment.changes_to.is_empty() {
            news.push((
                shipment.changes_to,
                self.missing_state(shipment.previous, Some(word)),
            ));
        }
        if !shipment.status_to.is_empty() {
            news.push((shipment.status_to, bare(word)));
        }
        news
    }

    /// What this instance can say of its knowledge, if it was ever told all.
    fn relay_status(&self, now: MonoMs) -> Option<RelayStatus> {
        let followed = self.following.freshest(now);
        let told_at = followed.map(|relay| MonoMs(now.0.saturating_sub(relay.age_ms)));
        let as_of = self.read_at.max(told_at)?;
        let known = self.known_state();
        Some(RelayStatus {
            known,
            age_ms: now.since(as_of),
            since: Some(known.revision),
            is_cut_off: !self.following.may_read(now, self.own.peer_address),
        })
    }

    /// What a peer lacks that is behind.
    pub fn catch_up_response(&self, now: MonoMs, wants: &CatchUpRequest) -> Frame {
        self.missing_state(wants.known, self.relay_status(now))
    }

    /// What somebody lacks who knows all up to an extent, with a word that confirms the rest, if this instance
    /// can give one.
    fn missing_state(&self, extent: KnownState, word: Option<RelayStatus>) -> Frame {
        let is_known = extent.revision > 0 && self.targets.has_removals_since(extent.revision);
        // A list of all targets tells removals by what it lacks, which only a word makes certain.
        let since = (is_known || word.is_none()).then_some(extent.revision);
        let published = self.published.clone();
        Frame {
            relay_status: word.map(|word| RelayStatus { since, ..word }),
            configuration: published.filter(|published| published.version > extent.version),
            targets: match since {
                Some(since) => self.targets.changes_after(since),
                None => self.targets.all(),
            },
            ..Frame::default()
        }
    }
}

/// A word with no changes; it says nothing to those that lack any.
fn bare(word: RelayStatus) -> Frame {
    Frame {
        relay_status: Some(word),
        ..Frame::default()
    }
}
